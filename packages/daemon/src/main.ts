#!/usr/bin/env node
/** Entry point of the daemon. Exit codes: 0 stopped gracefully, 1 failed or forced to stop, 2 a setting is missing or invalid. */
import { Instance } from './instance/index.js'
import { readSettings, type Settings } from './settings/index.js'

const EXIT_STOPPED = 0
const EXIT_FAILED = 1
const EXIT_BAD_SETTING = 2

const commandLine = readSettings(process.argv.slice(2), process.env)
if (commandLine.isErr) {
  process.stderr.write(`${commandLine.error.message}\n`)
  process.exitCode = EXIT_BAD_SETTING
} else if (commandLine.value.kind === 'run') run(commandLine.value.settings)

function run (settings: Settings): void {
  const instance = new Instance(settings, () => process.exit(EXIT_STOPPED))
  stopOnSignals(instance)
  instance.handleUncaughtErrors()
  instance.start().then(
    addresses => process.stdout.write(`listening ${JSON.stringify(addresses)}\n`),
    (error: unknown) => {
      process.stderr.write(`The daemon could not start: ${String(error)}. Check the addresses and ports in its settings\n`)
      process.exit(EXIT_FAILED)
    }
  )
}

/** The first signal starts a graceful stop; a second one ends the process at once, even if requests are still running. */
function stopOnSignals (instance: Instance): void {
  let isStopping = false
  const stop = (): void => {
    if (isStopping) process.exit(EXIT_FAILED)
    isStopping = true
    instance.stop().then(() => process.exit(EXIT_STOPPED), () => process.exit(EXIT_FAILED))
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
}

#!/usr/bin/env node
/** Entry of the daemon. Exit codes: 0 stopped as asked, 1 failed, 2 a setting is missing or wrong. */
import { Instance } from './instance/index.js'
import { readSettings } from './settings/index.js'

const EXIT_FAILED = 1
const EXIT_BAD_SETTING = 2

const commandLine = readSettings(process.argv.slice(2), process.env)
if (commandLine.isErr) {
  process.stderr.write(`${commandLine.error.message}\n`)
  process.exitCode = EXIT_BAD_SETTING
} else if (commandLine.value.kind === 'run') {
  const instance = new Instance(commandLine.value.settings)
  const stop = (): void => { instance.stop().then(() => process.exit(0), () => process.exit(EXIT_FAILED)) }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
  instance.start().then(
    addresses => process.stdout.write(`listening ${JSON.stringify(addresses)}\n`),
    (error: unknown) => {
      process.stderr.write(`The daemon could not start: ${String(error)}. Check the addresses and ports in its settings\n`)
      process.exit(EXIT_FAILED)
    }
  )
}

/** Runs a case: exits with 10 if the rule was broken, as no failure of Node.js does, 0 if it held, and 2 if it could not run. */
import { fileURLToPath } from 'node:url'
import { endAllProcesses, Recorder } from './harness.mjs'

const LIMIT = 118_000
const BROKEN = 10

/**
 * @param url of the case's module, beside which `record.txt` is written
 * @param run gets the recorder and whether the disruption takes place; resolves with the number of times that the rule was broken
 */
export async function runCase (url, run) {
  const recorder = new Recorder(fileURLToPath(new URL('.', url)))
  const finish = code => {
    endAllProcesses()
    recorder.write(`exit code ${code}`)
    process.exit(code)
  }
  const giveUp = reason => {
    recorder.write(`could not run: ${reason}`)
    finish(2)
  }
  setTimeout(() => { giveUp(`not over after ${LIMIT} ms`) }, LIMIT)
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => { giveUp(signal) })
  const hasTrouble = process.env.TROUBLE !== '0'
  recorder.write(hasTrouble ? 'with the disruption' : 'without the disruption')
  try {
    const broken = await run(recorder, hasTrouble)
    finish(broken > 0 ? BROKEN : 0)
  } catch (error) {
    giveUp(error.stack)
  }
}

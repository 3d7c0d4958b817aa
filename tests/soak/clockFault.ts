/**
 * Preloaded into a gateway by tests: shifts `Date.now` by the number of milliseconds in a file, which is read at the start and
 * again on SIGUSR2. The signal may be meant for another such module.
 */
import { existsSync, readFileSync } from 'node:fs'

const file = process.env.WASABIHEAD_TEST_CLOCK_FILE
const rightTime = Date.now.bind(Date)
let offset = 0

if (file !== undefined) {
  const read = (): void => { if (existsSync(file)) offset = Number(readFileSync(file, 'utf8')) }
  read()
  Date.now = () => rightTime() + offset
  process.on('SIGUSR2', read)
}

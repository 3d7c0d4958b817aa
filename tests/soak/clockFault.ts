/**
 * Loaded into a gateway by tests, before the program: the time of day is off by the milliseconds in a file, which is read
 * anew on a signal.
 */
import { existsSync, readFileSync } from 'node:fs'

const file = process.env.WASABIHEAD_TEST_CLOCK_FILE
const rightTime = Date.now.bind(Date)
let offset = 0

if (file !== undefined) {
  if (existsSync(file)) offset = Number(readFileSync(file, 'utf8'))
  Date.now = () => rightTime() + offset
  process.on('SIGUSR2', () => { offset = Number(readFileSync(file, 'utf8')) })
}

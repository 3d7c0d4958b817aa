#!/usr/bin/env node
/** Runs the built program. `npm ci` links a command only to a file that is there, and `dist` is built after it. */
import { existsSync } from 'node:fs'

const EXIT_FAILED = 1
const program = new URL('../dist/main.js', import.meta.url)
if (existsSync(program)) {
  await import(program.href)
} else {
  process.stderr.write('wasabihead-daemon has not been built. Run "npm run build" in the clone first\n')
  process.exitCode = EXIT_FAILED
}

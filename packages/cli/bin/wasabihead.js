#!/usr/bin/env node
/** Runs the built program. `npm ci` links commands only to files that exist, and `dist` is built only after it. */
import { existsSync } from 'node:fs'

const EXIT_FAILED = 1
const program = new URL('../dist/main.js', import.meta.url)
if (existsSync(program)) {
  await import(program.href)
} else {
  process.stderr.write('wasabihead has not been built. Run "npm run build" in the clone first\n')
  process.exitCode = EXIT_FAILED
}

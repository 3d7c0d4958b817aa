#!/usr/bin/env node
/** Entry point of the operators' command-line tool. */
import { commandGroups } from './commands/index.js'
import { runCommandLine } from './program/index.js'

process.exitCode = await runCommandLine(process.argv.slice(2), commandGroups, {
  environment: process.env,
  printOutput: text => { process.stdout.write(text) },
  printError: text => { process.stderr.write(text) }
})

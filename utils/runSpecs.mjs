/**
 * Runs all compiled uvu spec files, a few at a time, each in a process of its own. Failures that KNOWN-RED.txt lists are printed,
 * but do not fail the run; a listed test that passes again fails it, so that the list stays up to date.
 * Arguments: parts of file names; if there are any, only matching spec files run.
 */
import { spawn } from 'node:child_process'
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { availableParallelism } from 'node:os'
import { join, relative } from 'node:path'

const ROOTS = [
  'packages/coordination/dist', 'packages/http/dist', 'packages/gateway/dist', 'platform/dist', 'packages/daemon/dist', 'packages/cli/dist', 'packages/standins/dist', 'packages/experiments/dist', 'tests/dist'
]
const MAXIMUM_FILES_AT_ONCE = Math.max(1, Math.min(4, availableParallelism() - 1))
const FILE_TIMEOUT_MILLISECONDS = 240_000
/** Files that fill the memory of a process up to a bound; each runs alone, after the others. */
const RUNS_ALONE = /[fF]loods\.spec\.js$/
/** Length of the output of a failed file that is repeated at the end, where a long log is most likely kept. */
const REPEATED_CHARACTERS = 2_000

function findSpecs (filters) {
  const files = ROOTS.filter(root => existsSync(root)).flatMap(root =>
    readdirSync(root, { recursive: true }).map(name => join(root, name)))
  return files
    .filter(file => file.endsWith('.spec.js'))
    .filter(file => existsSync(sourceOf(file)))
    .filter(file => filters.length === 0 || filters.some(filter => file.includes(filter)))
    .sort()
}

function sourceOf (file) {
  const isTest = file.startsWith('tests/')
  return file.replace('/dist/', isTest ? '/' : '/src/').replace(/\.js$/, '.ts')
}

/**
 * Reads entries of the form `- <file>.spec.ts | <test title> | <command and seed> | <what was seen> | issue N`. An entry that
 * begins with `?` instead of `-` fails only sometimes, so it is not stale after a run in which it passes.
 */
function readKnownRed () {
  if (!existsSync('KNOWN-RED.txt')) return []
  return readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
    .filter(line => line.startsWith('- ') || line.startsWith('? '))
    .map(line => ({ isIntermittent: line.startsWith('? '), parts: line.slice(2).split('|').map(part => part.trim()) }))
    .map(({ isIntermittent, parts: [file, title, ...rest] }) => ({ isIntermittent, file, title, rest: rest.join(' | ') }))
}

function runFile (file) {
  return new Promise(resolve => {
    const child = spawn(process.execPath, ['--enable-source-maps', file], {
      stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, FORCE_COLOR: '0' }
    })
    let output = ''
    const timer = setTimeout(() => {
      output += '\nThe spec file did not end in time and was stopped.\n'
      child.kill('SIGKILL')
    }, FILE_TIMEOUT_MILLISECONDS)
    child.stdout.on('data', data => { output += data })
    child.stderr.on('data', data => { output += data })
    child.on('close', code => {
      clearTimeout(timer)
      resolve({ file, code, output })
    })
  })
}

/** A file without any test counts as failed, and so does one that fails in any other way than by tests that are listed. */
function judge (result, knownRed) {
  const total = Number(/Total:\s+(\d+)/.exec(result.output)?.[1] ?? 0)
  const passed = Number(/Passed:\s+(\d+)/.exec(result.output)?.[1] ?? 0)
  const titles = [...result.output.matchAll(/FAIL\s+(?:.*?\s)?"(.*)"$/gm)].map(match => match[1])
  const source = relative('.', sourceOf(result.file))
  const listed = knownRed.filter(entry => entry.file === source)
  const hasOnlyKnownFailures = result.code !== 0 && total > 0 && titles.length === total - passed &&
    titles.every(title => listed.some(entry => entry.title === title))
  const isPassed = result.code === 0 && total > 0
  return {
    source,
    titles,
    output: result.output,
    passed,
    failed: hasOnlyKnownFailures ? 0 : Math.max(total - passed, isPassed ? 0 : 1),
    knownRed: hasOnlyKnownFailures ? titles.length : 0,
    stale: listed.filter(entry => !entry.isIntermittent && !titles.includes(entry.title))
  }
}

async function main () {
  const files = findSpecs(process.argv.slice(2))
  const knownRed = readKnownRed()
  const verdicts = []
  const runAll = async queue => {
    for (let file = queue.shift(); file !== undefined; file = queue.shift()) {
      const result = await runFile(file)
      const verdict = judge(result, knownRed)
      verdicts.push(verdict)
      const isOutputPrinted = verdict.failed > 0 || verdict.knownRed > 0
      console.log(`${verdict.failed > 0 ? 'FAIL' : 'ok  '} ${verdict.source} (${verdict.passed} passed)`)
      if (isOutputPrinted) console.log(result.output)
    }
  }
  const together = files.filter(file => !RUNS_ALONE.test(file))
  await Promise.all(Array.from({ length: MAXIMUM_FILES_AT_ONCE }, async () => { await runAll(together) }))
  await runAll(files.filter(file => RUNS_ALONE.test(file)))
  report(verdicts, knownRed)
}

function report (verdicts, knownRed) {
  for (const entry of knownRed) console.log(`known red: ${entry.file} | ${entry.title} | ${entry.rest}`)
  const stale = verdicts.flatMap(verdict => verdict.stale)
  for (const entry of stale) console.log(`listed in KNOWN-RED.txt but passes now, take it off: ${entry.file} | ${entry.title}`)
  for (const { source, titles, output } of verdicts.filter(({ failed }) => failed > 0)) {
    console.log(`failed: ${source} | ${titles.join(' | ')}\n${output.trimEnd().slice(-REPEATED_CHARACTERS)}`)
  }
  const passed = verdicts.reduce((sum, verdict) => sum + verdict.passed, 0)
  const failed = verdicts.reduce((sum, verdict) => sum + verdict.failed, 0) + stale.length
  console.log(`${passed} passed, ${failed} failed`)
  process.exitCode = failed > 0 || passed === 0 ? 1 : 0
}

await main()

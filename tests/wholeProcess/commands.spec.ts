/** The commands that an installation links, as `npx` runs them. */
import { copyFile, mkdir, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { basename, join, relative } from 'node:path'
import { fileURLToPath } from 'node:url'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runProgram } from '@wasabihead/experiments'
import { z } from 'zod'

const ROOT = fileURLToPath(new URL('../../../', import.meta.url))
const packageSchema = z.object({ bin: z.record(z.string(), z.string()) })

let folder: string
test.before(async () => { folder = await mkdtemp(join(tmpdir(), 'wasabihead-commands-')) })
test.after(async () => { await rm(folder, { recursive: true }) })

async function findScript (home: string, command: string): Promise<string> {
  const { bin } = packageSchema.parse(JSON.parse(await readFile(join(ROOT, home, 'package.json'), 'utf8')))
  return join(home, bin[command] ?? '')
}

/** Copies the script alone, as in a clone before the build; returns its path relative to the repository's root. */
async function copyUnbuilt (script: string): Promise<string> {
  const copy = join(folder, basename(script, '.js'), 'bin', basename(script))
  await mkdir(join(copy, '..'), { recursive: true })
  await writeFile(join(folder, 'package.json'), JSON.stringify({ type: 'module' }))
  await copyFile(join(ROOT, script), copy)
  return relative(ROOT, copy)
}

const commands = [
  { home: 'packages/daemon', command: 'wasabihead-daemon' },
  { home: 'packages/cli', command: 'wasabihead' }
]
for (const { home, command } of commands) {
  test(`should link ${command} to a file that is there before the build`, async () => {
    assert.not.match(await findScript(home, command), /\bdist\b/)
  })

  test(`should run ${command}`, async () => {
    const { code, output, errors } = await runProgram(await findScript(home, command), ['--help'])
    assert.is(code, 0, errors)
    assert.match(output, new RegExp(`\\b${command}\\b`))
  })

  test(`should say what to run when ${command} has not been built`, async () => {
    const { code, errors } = await runProgram(await copyUnbuilt(await findScript(home, command)), ['--help'])
    assert.is(code, 1)
    assert.match(errors, /npm run build/)
  })
}

test.run()

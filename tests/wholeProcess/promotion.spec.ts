/** The operators' tool promotes a document from one environment to another without a changed byte. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { digestOf, Fleet, type RunningInstance } from '@wasabihead/experiments'

const trial = new Fleet()
const production = new Fleet()
test.before(async () => {
  await Promise.all([trial, production].map(async fleet => { await fleet.start({ instances: 1, engines: 1 }) }))
})
test.after(async () => { await Promise.all([trial.stop(), production.stop()]) })

test('should promote the very bytes that were tried, and tell where they came from', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'wasabihead-promotion-'))
  try {
    const file = join(folder, 'document.yaml')
    const text = `# tried in trial\n${trial.document()}`
    await writeFile(file, text)
    const [source] = trial.instances as [RunningInstance]
    const [target] = production.instances as [RunningInstance]
    const applied = await trial.runOperatorTool(source, 'config', 'apply', file)
    assert.is(applied.code, 0, applied.errors)
    const addresses = ['--from', source.addresses.operator, '--to', target.addresses.operator]
    const promoted = await trial.runOperatorTool(source, 'config', 'promote', ...addresses, '--wait')
    assert.is(promoted.code, 0, promoted.errors)
    assert.is((await production.runOperatorTool(target, 'config', 'show')).output, text)
    const history = JSON.parse((await production.runOperatorTool(target, 'config', 'history', '--json')).output)
    assert.is(history.changes.length, 1)
    assert.equal(history.changes[0].promotedFrom, { environment: 'trial', revision: 1, digest: digestOf(text) })
  } finally {
    await rm(folder, { recursive: true })
  }
})

test.run()

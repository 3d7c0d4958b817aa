/** The operators' tool against instances in separate processes. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { Fleet, type RunningInstance } from '@wasabihead/experiments'

const fleet = new Fleet()
let folder: string
test.before(async () => {
  folder = await mkdtemp(join(tmpdir(), 'wasabihead-tool-'))
  await fleet.start({ instances: 2, engines: 1 })
  await fleet.waitForMembers(2)
})
test.after(async () => {
  await fleet.stop()
  await rm(folder, { recursive: true })
})

async function operate (index: number, ...words: string[]) {
  return await fleet.runOperatorTool(fleet.instances[index] as RunningInstance, ...words)
}

async function write (name: string, text: string): Promise<string> {
  const file = join(folder, name)
  await writeFile(file, text)
  return file
}

test('should put a document in force everywhere, and accept one of two changes that race', async () => {
  const document = fleet.document()
  const first = await operate(0, 'config', 'apply', await write('first.yaml', document), '--wait', '--json')
  assert.is(first.code, 0, first.errors)
  assert.equal(JSON.parse(first.output).hosts.sort(), ['entry-0', 'entry-1'])
  const rivals = await Promise.all([3, 4].map(async (share, index) => {
    const file = await write(`rival-${index}.yaml`, document.replace('share: 2', `share: ${share}`))
    return await operate(index, 'config', 'apply', file, '--expected-revision', '1', '--wait')
  }))
  assert.equal(rivals.map(({ code }) => code).sort(), [0, 3], rivals.map(({ errors }) => errors).join('\n'))
  const loser = rivals.find(({ code }) => code === 3)
  assert.match(loser?.errors ?? '', /\+ +share: 3/)
  assert.match(loser?.errors ?? '', /\+ +share: 4/)
  const shown = await Promise.all([0, 1].map(async index => (await operate(index, 'config', 'show')).output))
  assert.is(shown[0], shown[1])
  assert.not.equal(shown[0], document)
})

test('should read out one instance, and refuse a wrong document with exit code 1', async () => {
  const status = JSON.parse((await operate(1, 'status', '--json')).output)
  assert.equal([status.instance.host, status.instance.environment, status.members.length], ['entry-1', 'trial', 2])
  const refused = await operate(0, 'config', 'apply', await write('wrong.yaml', fleet.document().replace('share', 'shares')))
  assert.is(refused.code, 1)
  assert.match(refused.errors, /workspaces\.0\.shares: there is no such field/)
})

test.run()

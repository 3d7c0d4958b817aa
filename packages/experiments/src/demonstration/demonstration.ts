/** Sends one request of each kind through a small fleet, and repeats a prompt after the engines have evicted its blocks. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { randomUUID } from 'node:crypto'
import { answerTokens } from '@wasabihead/standins'
import { Caller, Fleet, HARROWGATE_TOKEN, waitUntil, type RunningInstance } from '../processes/index.js'

const ANSWER_TOKENS = 12
const MAXIMUM_EVICTION_ROUNDS = 50
const RETURN_DELAY_MILLISECONDS = 1_500
/** Prompt tokens per second: slow enough that importing a prompt is faster than computing it again, even over a slow link. */
export const DEMONSTRATION_PREFILL_RATE = 250

/** Result of one step. `isWhole` is true if every answer was complete and as expected. */
export interface DemonstrationStep {
  title: string
  isWhole: boolean
  detail: string
}

/** Applies the fleet's configuration document with the operators' tool, and waits until every instance reports it. */
export async function applyDocument (fleet: Fleet): Promise<DemonstrationStep> {
  const folder = await mkdtemp(join(tmpdir(), 'wasabihead-'))
  try {
    const file = join(folder, 'document.yaml')
    await writeFile(file, fleet.document())
    const applied = await fleet.runOperatorTool(fleet.instances[0] as RunningInstance, 'config', 'apply', file)
    if (applied.code === 0) await fleet.waitForRevision(1)
    return { title: 'operators apply the document', isWhole: applied.code === 0, detail: (applied.output + applied.errors).trim() }
  } finally {
    await rm(folder, { recursive: true })
  }
}

/** Sends the requests one after another and yields the result of each step. */
export async function * serveRequests (fleet: Fleet): AsyncIterable<DemonstrationStep> {
  const caller = new Caller(HARROWGATE_TOKEN)
  const address = (fleet.instances[0] as RunningInstance).addresses.caller
  const hosts = await caller.askHosts(address, 'rulebook')
  const [home] = hosts as [string]
  yield { title: 'a caller asks which hosts to use', isWhole: hosts.length === fleet.instances.length, detail: hosts.join(' ') }
  yield await streamPolicy(caller, home, 'a policy answer streams', prompt('rulebook'))
  yield await callOnce(caller, home)
  yield await lookUp(caller, home)
  yield await summarise(caller, home)
  yield await returnAfterEviction(fleet, caller, home)
}

async function streamPolicy (caller: Caller, address: string, title: string, text: string): Promise<DemonstrationStep> {
  const answer = await caller.stream(address, 'policy-answer', text, ANSWER_TOKENS)
  const isWhole = answer.isWhole && answer.text === answerTokens(text, ANSWER_TOKENS).join('')
  return { title, isWhole, detail: JSON.stringify(answer.usage) }
}

async function callOnce (caller: Caller, address: string): Promise<DemonstrationStep> {
  const key = randomUUID()
  const first = await caller.call(address, 'uniform-order', { apron: 2 }, key)
  const again = await caller.call(address, 'uniform-order', { apron: 2 }, key)
  const isWhole = first.status === 200 && JSON.stringify(first.body) === JSON.stringify(again.body)
  return { title: 'a uniform order runs at most once, sent twice', isWhole, detail: JSON.stringify([first, again]) }
}

async function lookUp (caller: Caller, address: string): Promise<DemonstrationStep> {
  const answer = await caller.call(address, 'checklist-lookup', { trainee: 7 })
  return { title: 'a checklist look-up is answered', isWhole: answer.status === 200, detail: JSON.stringify(answer) }
}

async function summarise (caller: Caller, address: string): Promise<DemonstrationStep> {
  const text = prompt('safety policy')
  const answer = await caller.complete(address, 'policy-summary', text, ANSWER_TOKENS, randomUUID())
  const { choices } = answer.body as { choices?: Array<{ text: string }> }
  const isWhole = choices?.[0]?.text === answerTokens(text, ANSWER_TOKENS).join('')
  return { title: 'a policy summary is kept until it is whole', isWhole, detail: JSON.stringify(answer) }
}

async function returnAfterEviction (fleet: Fleet, caller: Caller, address: string): Promise<DemonstrationStep> {
  const title = 'a prompt returns after eviction and is not computed again'
  const returning = prompt('grant rulebook')
  const before = new Set(await fleet.engineBlocks())
  await caller.stream(address, 'policy-answer', returning, ANSWER_TOKENS)
  const blocks = (await fleet.engineBlocks()).filter(block => !before.has(block))
  await waitUntil(async () => (await fleet.storedBlocks(blocks)).length === blocks.length)
  for (let round = 0; await fleet.isAnyBlockCached(blocks); round++) {
    if (round === MAXIMUM_EVICTION_ROUNDS) return { title, isWhole: false, detail: 'the engines did not evict the blocks' }
    await Promise.all(fleet.engines.map(async (_, index) =>
      await caller.stream(address, 'policy-answer', prompt(`other ${round} ${index}`), ANSWER_TOKENS)))
  }
  // Eviction events arrive late, and hints from other instances stay valid for a while. Real prompts return long after both.
  await fleet.waitForCacheEvents()
  await new Promise(resolve => { setTimeout(resolve, RETURN_DELAY_MILLISECONDS) })
  const answer = await caller.stream(address, 'policy-answer', returning, ANSWER_TOKENS)
  const isWhole = answer.isWhole && blocks.length > 0 && answer.usage?.imported_blocks === blocks.length
  return { title, isWhole, detail: JSON.stringify(answer.usage) }
}

function prompt (subject: string): string {
  return `${subject}. `.padEnd(400, `The rules of ${subject}. `).repeat(3).slice(0, 1_000)
}

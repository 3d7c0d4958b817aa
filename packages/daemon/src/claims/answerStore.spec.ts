import { Result } from 'true-myth'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { contentDigest, PlatformRefusedError, type CompareAndSwap, type KeyValueService } from '@wasabihead/coordination'
import { AnswerStore } from './answerStore.js'

const stored = { name: 'attempt-1', status: 200, digest: contentDigest('abcdef'), chunkCount: 2 }
const chunks = ['abc', 'def']

/** Refuses the call with the given index, counted from 0; a lost compare-and-swap leaves the key unchanged. */
function createKeyValue (refusedCall = -1): { entries: Map<string, string>, service: KeyValueService } {
  const entries = new Map<string, string>()
  let calls = 0
  const answer = <Value>(value: Value): Result<Value, PlatformRefusedError> =>
    calls++ === refusedCall ? Result.err(new PlatformRefusedError('down', 'wait')) : Result.ok(value)
  const service = {
    read: async (key: string) => answer(entries.has(key) ? { key, value: entries.get(key), revision: 1 } : undefined),
    compareAndSwap: async ({ key, value }: CompareAndSwap) => {
      const written = answer(entries.has(key) ? { kind: 'lost' } : { kind: 'won', revision: 1 })
      if (written.isOk && !entries.has(key)) entries.set(key, value)
      return written
    },
    remove: async (key: string) => answer(entries.delete(key) ? { kind: 'won', revision: 2 } : { kind: 'lost' })
  }
  return { entries, service: service as unknown as KeyValueService }
}

test('should write missing chunks, read the whole answer and remove it', async () => {
  const { entries, service } = createKeyValue(1)
  const store = new AnswerStore('trial', service)
  assert.not(await store.write(3, stored, chunks))
  assert.ok(await store.write(3, stored, chunks))
  assert.equal((await store.read(3, stored)).unwrapOr(undefined), { status: 200, body: 'abcdef' })
  await store.remove(3, stored)
  assert.is(entries.size, 0)
  assert.equal(await store.read(3, stored), Result.ok(undefined))
})

test('should return an error rather than a missing answer when the service refuses a read', async () => {
  const { service } = createKeyValue(0)
  assert.ok((await new AnswerStore('trial', service).read(3, stored)).isErr)
})

test.run()

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ImportTable, LinkEstimates } from '../cache/index.js'
import { isLikelyHeld, queuedPromptTokens, ReplicaTable, TieredPlacementPolicy, type PlacementRequest } from './index.js'

const blockKeys = ['a', 'b', 'c', 'd']

function createTable (): ReplicaTable {
  const table = new ReplicaTable()
  table.configure(['engine-0', 'engine-1'].map(name => ({ name, dataCentre: 'leeds' })))
  return table
}

function createRequest (change: Partial<PlacementRequest> = {}, bytesPerSecond = 1_000_000_000): PlacementRequest {
  const links = new LinkEstimates()
  links.configure([{ name: 'store-0', bytesPerSecond }])
  return {
    promptTokens: 8_000,
    blockKeys,
    blockTokens: 2_000,
    blockBytes: 50_000_000,
    prefillTokensPerSecond: 8_000,
    storedBlockKeys: new Set(blockKeys),
    linkBytesPerSecond: bytesPerSecond,
    linksOfBlocks: new Map(blockKeys.map(blockKey => [blockKey, ['store-0']])),
    links,
    imports: new ImportTable(),
    recomputeWeight: 0,
    ...change
  }
}

const cuts = [
  { title: 'import all over a fast link', bytesPerSecond: 1_000_000_000, weight: 0, imported: 4 },
  { title: 'import over a link slightly slower than the engine, since recomputing delays later prompts', bytesPerSecond: 190_000_000, weight: 0, imported: 4 },
  { title: 'compute all rather than wait for a slow link', bytesPerSecond: 10_000_000, weight: 0, imported: 0 },
  { title: 'import over a slow link if only the recompute time is weighted', bytesPerSecond: 10_000_000, weight: 1, imported: 4 }
]
for (const { title, bytesPerSecond, weight, imported } of cuts) {
  test(`should ${title}`, () => {
    const request = createRequest({ recomputeWeight: weight }, bytesPerSecond)
    const placement = new TieredPlacementPolicy().place(request, createTable().replicas, 0)
    assert.is(placement?.importBlockKeys.length, imported)
  })
}

test('should import as many blocks as arrive while the prompt waits in the queue, and compute the rest', () => {
  const table = createTable()
  table.configure([{ name: 'engine-0', dataCentre: 'leeds' }])
  table.onLoadReport('engine-0', {
    incarnation: 1, sequence: 1, runningRequests: 0, queuedRequests: 1, queuedPromptTokens: 8_000
  }, 0)
  const placement = new TieredPlacementPolicy().place(createRequest({}, 60_000_000), table.replicas, 0)
  assert.is(placement?.importBlockKeys.length, 1)
})

test('should import up to the first block that no store holds', () => {
  const request = createRequest({ linksOfBlocks: new Map([['a', ['store-0']], ['c', ['store-0']]]) })
  assert.equal(new TieredPlacementPolicy().place(request, createTable().replicas, 0)?.importBlockKeys, ['a'])
})

test('should prefer the replica that this instance sent the blocks to before its cache events arrive, until it fails', () => {
  const table = createTable()
  table.onDispatched('engine-1', 8_000, 0, blockKeys, 0)
  const request = createRequest({ linksOfBlocks: new Map() })
  const placement = new TieredPlacementPolicy().place(request, table.replicas, 10)
  assert.equal([placement?.replica, placement?.reusedBlocks], ['engine-1', 4])
  table.onFailed('engine-1')
  assert.not(isLikelyHeld(table.find('engine-1') as never, 'a', 10))
  assert.is(new TieredPlacementPolicy().place(request, table.replicas, 10)?.replica, 'engine-0')
})

test('should rely on cache events alone for held blocks once a request has ended', () => {
  const table = createTable()
  table.onDispatched('engine-0', 8_000, 8_000, blockKeys, 0)
  table.onFinished('engine-0', blockKeys, 500)
  assert.equal([600, 5_000].map(now => isLikelyHeld(table.find('engine-0') as never, 'a', now)), [true, false])
})

test('should adjust an old load report by the tokens sent and processed since', () => {
  const table = createTable()
  const report = { incarnation: 1, sequence: 1, runningRequests: 0, queuedRequests: 1, queuedPromptTokens: 10_000 }
  table.onLoadReport('engine-0', report, 1_000)
  table.onDispatched('engine-0', 9_000, 4_000, [], 1_000)
  const replica = table.find('engine-0') as never
  assert.is(queuedPromptTokens(replica, 2_000, 1_000), 14_000)
  assert.is(queuedPromptTokens(replica, 2_000, 3_000), 10_000)
})

test('should not count idle time of a replica before a dispatch as processing time for it', () => {
  const table = createTable()
  for (const name of ['engine-0', 'engine-1']) {
    table.onLoadReport(name, { incarnation: 1, sequence: 1, runningRequests: 0, queuedRequests: 0, queuedPromptTokens: 0 }, 0)
  }
  const placements = Array.from({ length: 10 }, () => {
    const placement = new TieredPlacementPolicy().place(createRequest({ linksOfBlocks: new Map() }), table.replicas, 900_000)
    table.onDispatched(placement?.replica ?? '', 8_000, 8_000, [], 900_000)
    return placement?.replica
  })
  assert.is(placements.filter(replica => replica === 'engine-0').length, 5)
  const replica = table.find('engine-0') as never
  assert.equal([900_000, 901_000, 990_000].map(now => queuedPromptTokens(replica, 8_000, now)), [40_000, 32_000, 0])
})

test('should drop late events of an old incarnation, and start the new one empty', () => {
  const table = createTable()
  table.onCacheSnapshot('engine-0', { incarnation: 1, sequence: 1, blockKeys })
  table.onCacheEvents('engine-0', { incarnation: 2, events: [], lastSequence: 0 })
  table.onCacheEvents('engine-0', { incarnation: 1, events: [{ sequence: 2, change: 'stored', blockKey: 'e' }], lastSequence: 2 })
  assert.is(table.find('engine-0')?.blockKeys.size, 0)
})

test.run()

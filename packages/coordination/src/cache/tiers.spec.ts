import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { BlockValues, ExportQueue, ImportTable, LinkEstimates, storesForPrompt } from './index.js'

const MEGABYTE = 1_000_000
const RATE = 1_000 * MEGABYTE

function createLinks (): LinkEstimates {
  const links = new LinkEstimates()
  links.configure([{ name: 'store-0', bytesPerSecond: RATE }])
  return links
}

function finishTransfer (links: LinkEstimates, startedAt: number, elapsed: number): void {
  links.onFinished(links.onStarted('store-0', 100 * MEGABYTE, startedAt), startedAt + elapsed)
}

test('should predict a transfer to end after those in flight on its link', () => {
  const links = createLinks()
  links.onStarted('store-0', 100 * MEGABYTE, 0)
  assert.is(links.predict('store-0', 100 * MEGABYTE, 0), 200)
})

test('should lower the estimate of a slow link at once and recover it slowly', () => {
  const links = createLinks()
  finishTransfer(links, 0, 1_000)
  const lost = links.rateOf('store-0', 1_000)
  assert.ok(lost < 0.4 * RATE)
  finishTransfer(links, 1_000, 100)
  assert.ok(links.rateOf('store-0', 1_100) < 0.5 * RATE)
  assert.is(links.rateOf('store-0', 600_000), RATE)
})

test('should lower the estimate while a transfer is overdue', () => {
  const links = createLinks()
  links.onStarted('store-0', 100 * MEGABYTE, 0)
  assert.is(links.rateOf('store-0', 1_010), 0.1 * RATE)
})

test('should lower the estimate for a transfer that broke off, and not for a refused one', () => {
  const links = createLinks()
  links.onRefused(links.onStarted('store-0', MEGABYTE, 0))
  assert.is(links.rateOf('store-0', 1), RATE)
  links.onFailed(links.onStarted('store-0', MEGABYTE, 0), 1)
  assert.ok(links.rateOf('store-0', 1) < RATE)
  assert.is(links.bytesInFlight('store-0'), 0)
})

test('should start one import of a block for each replica, and wait for it for a bounded time', () => {
  const imports = new ImportTable()
  assert.ok(imports.begin('engine-0', 'block', 100, 0))
  assert.not(imports.begin('engine-0', 'block', 100, 50))
  assert.is(imports.remainingTime('engine-0', 'block', 60), 40)
  assert.ok(imports.begin('engine-1', 'block', 100, 50))
  assert.ok(imports.begin('engine-0', 'block', 60_100, 60_000))
  imports.end('engine-0', 'block')
  assert.is(imports.remainingTime('engine-0', 'block', 60_000), undefined)
})

test('should export the most valuable block first, over an idle link only, and drop the least valuable', () => {
  const links = createLinks()
  const queue = new ExportQueue(2)
  const block = { replica: 'engine-0', link: 'store-0', sizeBytes: MEGABYTE }
  queue.add([{ ...block, blockKey: 'low', value: 1 }, { ...block, blockKey: 'high', value: 3 }, { ...block, blockKey: 'middle', value: 2 }], 0)
  const transfer = links.onStarted('store-0', MEGABYTE, 0)
  assert.is(queue.next('store-0', links, 1), undefined)
  links.onFinished(transfer, 1)
  assert.equal([1, 2, 3].map(now => queue.next('store-0', links, now)?.blockKey), ['high', 'middle', undefined])
})

test('should value a block by its uses, and a new one by its workspace, within bounds', () => {
  const values = new BlockValues(10, 2)
  for (let use = 0; use < 3; use++) values.onUsed('large', ['rulebook'])
  for (let index = 0; index < 100; index++) values.onUsed('once', [`single-${index}`])
  assert.ok(values.reuseProbability('large', 'rulebook') <= 0.75)
  assert.ok(values.reuseProbability('once', 'new') < 0.1)
  assert.is(values.size, 10)
  assert.ok(values.valueOf('large', 'other', 100, 1) > values.valueOf('once', 'other', 100, 1))
})

test('should choose at most two stores, those of the data centre first', () => {
  const stores = Array.from({ length: 6 }, (_, index) => ({ name: `store-${index}`, dataCentre: index < 3 ? 'leeds' : 'derby' }))
  const chosen = storesForPrompt('block', stores, 'derby')
  assert.is(chosen.length, 2)
  assert.ok(chosen.every(name => ['store-3', 'store-4', 'store-5'].includes(name)))
})

test.run()

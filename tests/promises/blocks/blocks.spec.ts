import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { findMixedVersions, findSharedBlocks, findWrongBlocks, type BlockRead } from './blockHistory.js'
import { correctVariant } from './blockRun.js'
import { blockProofs } from './proofs.js'

const SEEDS = Array.from({ length: 20 }, (_, seed) => seed + 1)
const read: BlockRead = {
  request: 1,
  workspace: 'harrowgate',
  admittedVersion: 'v1',
  ranVersion: 'v1',
  text: 'text',
  content: { workspace: 'harrowgate', weightVersion: 'v1', text: 'text', isWhole: true }
}

const broken = [
  { title: 'a partly written block', check: findWrongBlocks, change: { content: { ...read.content, isWhole: false } } },
  { title: 'another block in the place of a freed one', check: findWrongBlocks, change: { content: { ...read.content, text: 'else' } } },
  { title: 'a block of another workspace', check: findSharedBlocks, change: { workspace: 'warmerhomes' } },
  { title: 'a block of another version', check: findMixedVersions, change: { admittedVersion: 'v2', ranVersion: 'v2' } },
  { title: 'a run that changed its version', check: findMixedVersions, change: { ranVersion: 'v2' } }
]
for (const { title, check, change } of broken) {
  test(`should find ${title} in a history`, () => {
    assert.equal(check([read]), [])
    assert.is(check([read, { ...read, ...change }]).length, 1)
  })
}

for (const proof of blockProofs()) {
  test(`should hold in seeded runs: ${proof.name}`, () => {
    for (const seed of SEEDS) {
      const run = proof.run(seed)
      assert.equal(run.violations, [], `seed ${seed}`)
      assert.ok(Object.values(run.counts).every(count => count > 0), `seed ${seed} tried all: ${JSON.stringify(run.counts)}`)
    }
  })
}

const variants = [
  { title: 'blocks are read by place without a check', name: 'blocks', variant: { ...correctVariant, checksWhatItReads: false } },
  {
    title: 'uncommitted blocks are found and read',
    name: 'blocks',
    variant: { ...correctVariant, findsPartialBlocks: true, checksWhatItReads: false }
  },
  {
    title: 'block keys leave the workspace out',
    name: 'workspaces-apart',
    variant: { ...correctVariant, scopeOf: (scope: Parameters<typeof correctVariant.scopeOf>[0]) => ({ ...scope, workspace: '' }) }
  },
  {
    title: 'block keys leave the weight version out',
    name: 'weight-versions',
    variant: { ...correctVariant, scopeOf: (scope: Parameters<typeof correctVariant.scopeOf>[0]) => ({ ...scope, weightVersion: '' }) }
  }
]
for (const { title, name, variant } of variants) {
  test(`should find a breach where ${title}`, () => {
    const proof = blockProofs(variant).find(candidate => candidate.name === name)
    assert.ok(SEEDS.some(seed => (proof?.run(seed).violations.length ?? 0) > 0))
  })
}

test.run()

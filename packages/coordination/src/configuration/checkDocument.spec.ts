import { readFileSync } from 'node:fs'
import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { parse } from 'yaml'
import { checkDocumentSource, DOCUMENT_PARSER_OPTIONS, MAXIMUM_DOCUMENT_BYTES, type ConfigurationDocument } from './index.js'

const EXAMPLE = readFileSync(new URL('../../../../examples/document.yaml', import.meta.url), 'utf8')

function check (source: string) {
  return checkDocumentSource(source, text => parse(text, DOCUMENT_PARSER_OPTIONS))
}

function faultsOf (source: string): string[] {
  return check(source).match({ Ok: () => [], Err: error => error.faults.map(({ path, problem }) => `${path}: ${problem}`) })
}

function changed (change: (document: ReturnType<typeof parse>) => void): string {
  const document = parse(EXAMPLE)
  change(document)
  return JSON.stringify(document)
}

test('should take the annotated example, as YAML and as JSON', () => {
  assert.equal(faultsOf(EXAMPLE), [])
  assert.equal(faultsOf(JSON.stringify(parse(EXAMPLE))), [])
})

const refused: Array<[string, string, RegExp[]]> = [
  ['an unknown field', changed(document => { document.workspaces[1].shares = 2 }), [/^workspaces\.1\.shares: there is no such field$/]],
  ['an unknown section', changed(document => { document.tiers = [] }), [/^tiers: there is no such field$/]],
  ['a dangling model', changed(document => { document.kinds[0].target.model = 'other' }), [/^kinds\.0\.target\.model: no model is named "other"$/]],
  ['a dangling adapter', changed(document => { document.kinds[1].target.adapter = 'x' }), [/^kinds\.1\.target\.adapter/]],
  ['a dangling service', changed(document => { document.services = [] }), [/^kinds\.2\.target\.service/, /^kinds\.3\.target\.service/]],
  ['a dangling kind', changed(document => { document.workspaces[1].kinds = ['x'] }), [/^workspaces\.1\.kinds\.0: no kind is named "x"$/]],
  ['a dangling weight version', changed(document => { document.models[0].activeWeightVersion = 'v9' }), [/^models\.0\.activeWeightVersion/]],
  ['a backend server of no model', changed(document => { document.backendServers[1].model = 'x' }), [/^backendServers\.1\.model/]],
  ['one token of two workspaces', changed(document => { document.workspaces[1].tokenDigests = document.workspaces[0].tokenDigests }),
    [/^workspaces\.1\.tokenDigests\.0: the same token already belongs to "harrowgate"$/]],
  ['a name that stands twice', changed(document => { document.stores.push(document.stores[0]) }), [/^stores\.1\.name: "store-0" stands twice$/]],
  ['two servers at one address', changed(document => { document.backendServers[1].address = document.backendServers[0].address }),
    [/^backendServers\.1\.address/]],
  ['a target of two shapes', changed(document => { document.kinds[0].target = { model: 'policy', path: '/x' } }), [/^kinds\.0\.target\.path/]],
  ['a model that must run at most once', changed(document => { document.kinds[0].treatment = 'at-most-once' }), [/^kinds\.0\.treatment/]],
  ['an unknown field without a name', '{"": false}', [/^workspaces: /, /^kinds: /, /^"": there is no such field$/]],
  ['a missing section', changed(document => { delete document.kinds }), [/^kinds: /]],
  ['an alias', 'workspaces: &a [1]\nkinds: *a', [/^\(document\): it is neither YAML nor JSON: .*alias/i]],
  ['nested aliases', `a: &a [${'x,'.repeat(9)}]\n${'bcdefghi'.replaceAll(/./g, letter =>
    `${letter}: &${letter} [${`*${String.fromCharCode(letter.charCodeAt(0) - 1)},`.repeat(9)}]\n`)}`, [/^\(document\)/]],
  ['a key that stands twice', 'workspaces: []\nworkspaces: []', [/^\(document\): .*unique/]],
  ['two documents in one text', `${EXAMPLE}\n---\n${EXAMPLE}`, [/^\(document\)/]],
  ['nothing', '', [/^\(document\)/]],
  ['deep nesting', '['.repeat(20_000), [/^\(document\)/]],
  ['an over-long text', '#'.repeat(MAXIMUM_DOCUMENT_BYTES + 1), [/^\(document\): it has 900001 bytes, more than the 900000 allowed$/]]
]
for (const [title, source, patterns] of refused) {
  test(`should refuse ${title} with the path of the field`, () => {
    const faults = faultsOf(source)
    assert.is(faults.length, patterns.length, faults.join('\n'))
    patterns.forEach((pattern, index) => { assert.match(faults[index] as string, pattern) })
  })
}

test('should take 2,300 workspaces, 24 models and 760 replicas within the length allowed', () => {
  const source = JSON.stringify(targetDocument())
  assert.equal(faultsOf(source), [])
  assert.ok(Buffer.byteLength(source) <= MAXIMUM_DOCUMENT_BYTES)
})

test('should refuse any other text with faults that have a path, and never throw', () => {
  const anything = fc.oneof(
    fc.string({ maxLength: 200 }),
    fc.json(),
    fc.tuple(fc.nat(EXAMPLE.length), fc.nat(40), fc.string({ maxLength: 8 }))
      .map(([from, length, text]) => EXAMPLE.slice(0, from) + text + EXAMPLE.slice(from + length)))
  fc.assert(fc.property(anything, source => check(source).match({
    Ok: () => true,
    Err: error => error.faults.length > 0 && error.faults.every(fault => fault.path !== '' && fault.problem !== '')
  })), { seed: 1, numRuns: 300 })
})

test.run()

function targetDocument (): unknown {
  const models = Array.from({ length: 24 }, (_, index) => `model-${index}`)
  return {
    workspaces: Array.from({ length: 2_300 }, (_, index) => ({
      name: `workspace-${index}`,
      tokenDigests: [index.toString(16).padStart(64, '0'), (index + 10_000).toString(16).padStart(64, '0')],
      share: 1 + index % 5
    })),
    models: models.map(name => ({ name, weightVersions: ['v1', 'v2'], activeWeightVersion: 'v1', adapters: ['a', 'b'] })),
    kinds: models.flatMap(model => ['idempotent', 'durable'].map(treatment => ({ name: `${model}-${treatment}`, treatment, target: { model } }))),
    backendServers: Array.from({ length: 760 }, (_, index) => ({
      name: `engine-${index}`,
      address: `http://10.0.${Math.floor(index / 200)}.${index % 200}:9000`,
      dataCentre: `centre-${index % 7}`,
      model: models[index % 24],
      checksFencing: index % 2 === 0
    }))
  } satisfies Partial<Record<keyof ConfigurationDocument, unknown>>
}

/** Tests which workspaces share cached parts under configurations that follow each other in any order. */
import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SharingGroups, type SharingWorkspace } from './index.js'

const NAMES = ['a', 'b', 'c', '', '@', '/', 'a/b', 'a%2Fb', '\ud800', '\udbff', '\\ud800', '\ufffd', 'é', '__proto__']

const shared = (...names: string[]): SharingWorkspace[] => names.map(name => ({ name, isIsolated: false }))
const isolated = (...names: string[]): SharingWorkspace[] => names.map(name => ({ name, isIsolated: true }))

const workspacesArbitrary = fc.uniqueArray(
  fc.record({ name: fc.constantFrom(...NAMES), isIsolated: fc.boolean() }), { selector: ({ name }) => name }
)

// Guards against parts that a workspace left in a group before it became isolated (review/6, WALL). Instances may use different
// configurations at the same time, and each may use any of them again.
test('should never let a request find parts of another workspace where its configuration isolates one of the two', () => {
  fc.assert(fc.property(
    fc.array(fc.tuple(workspacesArbitrary, fc.constantFrom(undefined, ...NAMES)), { maxLength: 40 }), requests => {
      const writers = new Map<string, Set<string | undefined>>()
      for (const [workspaces, workspace] of requests) {
        const group = new SharingGroups(workspaces).groupOf(workspace)
        const names = writers.get(group) ?? new Set()
        writers.set(group, names.add(workspace))
        const isIsolated = (name: string | undefined): boolean => (
          workspaces.some(entry => entry.isIsolated && entry.name === name))
        for (const other of names) assert.not(other !== workspace && (isIsolated(other) || isIsolated(workspace)), group)
      }
    }
  ), { seed: 59, numRuns: 2_000 })
})

const groupChanges: { title: string, before: SharingWorkspace[], after: SharingWorkspace[], isSame: boolean }[] = [
  {
    title: 'nothing changes but the order',
    before: [...shared('a', 'b'), ...isolated('c', 'd')],
    after: [...isolated('d', 'c'), ...shared('b', 'a')],
    isSame: true
  },
  { title: 'a workspace that shares is added', before: [...shared('a'), ...isolated('c')], after: [...shared('a', 'b'), ...isolated('c')], isSame: true },
  { title: 'a workspace that shares is removed', before: shared('a', 'b'), after: shared('a'), isSame: true },
  { title: 'one becomes isolated', before: shared('a', 'b'), after: [...shared('a'), ...isolated('b')], isSame: false },
  { title: 'an isolated one is added', before: shared('a'), after: [...shared('a'), ...isolated('b')], isSame: false }
]
for (const { title, before, after, isSame } of groupChanges) {
  test(`should ${isSame ? 'keep' : 'change'} the shared group where ${title}`, () => {
    const groups = [before, after].map(workspaces => new SharingGroups(workspaces))
    assert.is(groups[0]?.shared === groups[1]?.shared, isSame)
    for (const group of groups) assert.is(group.groupOf('a'), group.shared)
  })
}

const requestCases: {
  title: string, workspaces: SharingWorkspace[] | undefined, workspace: string | undefined, sharesWith: string[]
}[] = [
  { title: 'no workspace where there are none', workspaces: undefined, workspace: undefined, sharesWith: [] },
  { title: 'no workspace', workspaces: [...shared('a'), ...isolated('b')], workspace: undefined, sharesWith: ['a'] },
  { title: 'a workspace that was removed', workspaces: shared('a'), workspace: 'b', sharesWith: [] },
  { title: 'a workspace with an isolated entry and another', workspaces: [...isolated('b'), ...shared('a', 'b')], workspace: 'b', sharesWith: [] },
  { title: 'a workspace whose name looks like an encoded one', workspaces: isolated('a/b', 'a%2Fb'), workspace: 'a%2Fb', sharesWith: [] }
]
for (const { title, workspaces, workspace, sharesWith } of requestCases) {
  test(`should let a request of ${title} share with ${sharesWith.length} others`, () => {
    const groups = new SharingGroups(workspaces)
    const others = [...new Set((workspaces ?? []).map(({ name }) => name))].filter(name => name !== workspace)
    assert.equal(others.filter(name => groups.groupOf(name) === groups.groupOf(workspace)), sharesWith)
    assert.not.match(groups.groupOf(workspace), /[^\x21-\x7e]|[/|]/)
  })
}

test('should tell which groups a configuration uses', () => {
  const groups = new SharingGroups([...shared('a'), ...isolated('b')])
  const used = ['a', 'b', undefined].map(name => groups.isInUse(groups.groupOf(name)))
  assert.equal([...used, groups.isInUse(''), groups.isInUse('a')], [true, true, true, false, false])
})

test.run()

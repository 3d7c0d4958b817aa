import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../common/index.js'
import { PeerLinks } from './index.js'

const near = ['a', 'b', 'c'].map(name => ({ name, region: 'here' }))
const far = [{ name: 'd', region: 'there' }]
const peers = [...near, ...far]

const cases: { title: string, prepare: (links: PeerLinks) => void, tried?: string[], now: number, expected: string[] }[] = [
  { title: 'all near ones where nothing is known', prepare: () => {}, now: 0, expected: ['a', 'b', 'c'] },
  { title: 'none that reports to be cut off', prepare: links => { links.receive('a', ['s'], 0) }, now: 2_999, expected: ['b', 'c'] },
  { title: 'one whose report is old', prepare: links => { links.receive('a', ['s'], 0) }, now: 3_000, expected: ['a', 'b', 'c'] },
  { title: 'one that is cut off from another service', prepare: links => { links.receive('a', ['t'], 0) }, now: 1, expected: ['a', 'b', 'c'] },
  { title: 'one that reports to reach the service again', prepare: links => { links.receive('a', ['s'], 0); links.receive('a', [], 1) }, now: 2, expected: ['a', 'b', 'c'] },
  { title: 'none that said so in an answer', prepare: links => { links.onCutOff('a', 's', 0) }, now: 1, expected: ['b', 'c'] },
  { title: 'none that could not be reached', prepare: links => { links.onSent('a'); links.onEnded('a', false, 0) }, now: 999, expected: ['b', 'c'] },
  { title: 'one that could not be reached a while ago', prepare: links => { links.onSent('a'); links.onEnded('a', false, 0) }, now: 1_000, expected: ['a', 'b', 'c'] },
  { title: 'none that was tried', prepare: () => {}, tried: ['b'], now: 0, expected: ['a', 'c'] },
  { title: 'a far one as a last resort', prepare: () => {}, tried: ['a', 'b', 'c'], now: 0, expected: ['d'] }
]
for (const { title, prepare, tried = [], now, expected } of cases) {
  test(`should relay to ${title}`, () => {
    const links = new PeerLinks()
    prepare(links)
    assert.equal(links.candidates('s', peers, new Set(tried), 'here', now).map(({ name }) => name), expected)
  })
}

test('should relay evenly to peers in use', () => {
  const links = new PeerLinks()
  const random = new SeededRandom(1)
  const counts = new Map<string, number>()
  for (let request = 0; request < 300; request++) {
    const name = links.select(near, random)?.name ?? ''
    links.onSent(name)
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  assert.ok([...counts.values()].every(count => count >= 95 && count <= 105), [...counts.values()].join(', '))
})

const duties: { title: string, selfCutOff: string[], cutOff: string[], service?: string, expected: string[] }[] = [
  { title: 'all while none is cut off', selfCutOff: [], cutOff: [], expected: ['a', 'b', 'c', 'self'] },
  { title: 'not itself while it is cut off', selfCutOff: ['s'], cutOff: [], expected: ['a', 'b', 'c'] },
  { title: 'all while they are cut off from another service', selfCutOff: ['t'], cutOff: ['a'], service: 't', expected: ['a', 'b', 'c', 'self'] },
  { title: 'itself while the others are cut off', selfCutOff: [], cutOff: ['a', 'b', 'c'], expected: ['self'] },
  { title: 'all where all are cut off', selfCutOff: ['s'], cutOff: ['a', 'b', 'c'], expected: ['a', 'b', 'c', 'self'] }
]
for (const { title, selfCutOff, cutOff, service = 's', expected } of duties) {
  test(`should take for connected instances ${title}`, () => {
    const links = new PeerLinks()
    for (const name of cutOff) links.receive(name, [service], 0)
    assert.equal(links.connectedInstances(['s'], 'self', selfCutOff, near, 1), expected)
  })
}

test.run()

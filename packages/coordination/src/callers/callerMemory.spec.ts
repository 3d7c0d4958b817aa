import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CallerMemory } from './index.js'

const IDLE = 10
const LIMITS = { connection: 1_000, address: 2_000, total: 3_000 }

interface Step {
  caller: string
  address?: string
  at: number
  waiting?: number
  serving?: number
  moved?: number
}

const cases: { title: string, steps: Step[], dropped: string[] }[] = [
  { title: 'nothing within the limits', steps: [{ caller: 'a', at: 0, waiting: 900 }, { caller: 'b', at: 0, waiting: 900 }], dropped: [] },
  { title: 'a connection beyond its own limit', steps: [{ caller: 'a', at: 0, waiting: 600, serving: 401 }], dropped: ['a connection'] },
  {
    title: 'the one of an address that has waited longest for the same',
    steps: [{ caller: 'a', at: 0, waiting: 900, moved: 900 }, { caller: 'b', at: 90, waiting: 900, moved: 900 }, { caller: 'c', at: 100, waiting: 900, moved: 900 }],
    dropped: ['a address']
  },
  {
    title: 'the one that holds more for the same progress',
    steps: [{ caller: 'a', at: 0, waiting: 600, moved: 600 }, { caller: 'b', at: 0, waiting: 900, moved: 600 }, { caller: 'c', at: 100, waiting: 900, moved: 600 }],
    dropped: ['b address']
  },
  {
    title: 'the one that takes nothing of its answer rather than one that takes much',
    steps: [{ caller: 'a', at: 0, waiting: 900, moved: 900_000 }, { caller: 'b', at: 0, waiting: 900, moved: 100 }, { caller: 'c', at: 100, waiting: 900, moved: 900 }],
    dropped: ['b address']
  },
  {
    title: 'the idlest of all addresses where the total is exceeded',
    steps: [
      { caller: 'a', address: 'one', at: 0, waiting: 900 }, { caller: 'b', address: 'one', at: 50, waiting: 900 },
      { caller: 'c', address: 'two', at: 60, waiting: 900 }, { caller: 'd', address: 'two', at: 100, waiting: 900 }
    ],
    dropped: ['a total']
  },
  {
    title: 'no request that is being served while another connection waits for its caller',
    steps: [{ caller: 'a', at: 0, serving: 900 }, { caller: 'b', at: 90, waiting: 900 }, { caller: 'c', at: 100, waiting: 300 }],
    dropped: ['b address']
  },
  {
    title: 'the one that grew where all others are being served',
    steps: [{ caller: 'a', at: 0, serving: 900 }, { caller: 'b', at: 50, serving: 900 }, { caller: 'c', at: 100, serving: 900 }],
    dropped: ['c address']
  },
  {
    title: 'the one without progress since it last held nothing',
    steps: [
      { caller: 'a', at: 0, waiting: IDLE, moved: 900_000 }, { caller: 'a', at: 10, waiting: 900, moved: 900_100 },
      { caller: 'b', at: 10, waiting: 900, moved: 900_000 }, { caller: 'c', at: 100, waiting: 900 }
    ],
    dropped: ['a address']
  }
]
for (const { title, steps, dropped } of cases) {
  test(`should drop ${title}`, () => {
    const memory = new CallerMemory<string>(LIMITS)
    const opened = new Set<string>()
    const seen = steps.flatMap(({ caller, address = 'one', at, waiting = 0, serving = 0, moved = 0 }) => {
      if (!opened.has(caller)) memory.open(caller, address, IDLE, at)
      opened.add(caller)
      return memory.update(caller, { waiting, serving, moved }, at)
    })
    assert.equal(seen.map(({ caller, limit }) => `${caller} ${limit}`), dropped)
    for (const caller of opened) memory.close(caller)
    assert.equal([memory.held, memory.connections], [0, 0])
  })
}

// Guards against a limit below what the operators' configuration allows for one request.
test('should serve one request within the configuration, whatever the limits', () => {
  const memory = new CallerMemory<string>(LIMITS)
  memory.allowRequest(5_000)
  memory.open('a', 'one', IDLE, 0)
  assert.equal(memory.update('a', { waiting: 4_900, serving: 0, moved: 0 }, 0), [])
})

test.run()

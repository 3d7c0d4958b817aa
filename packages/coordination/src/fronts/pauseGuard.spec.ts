import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { PauseGuard } from './index.js'

const readings = [
  { title: 'a message before the first tick', ticks: [], at: 5_000, expected: false },
  { title: 'a message soon after a tick', ticks: [0, 250], at: 480, expected: false },
  { title: 'a message that is read before the first tick after a pause', ticks: [0, 250], at: 4_000, expected: true },
  { title: 'a message that is read just after a tick that ended a pause', ticks: [0, 4_000], at: 4_010, expected: true },
  { title: 'a message that is read once the buffered ones have been read', ticks: [0, 4_000, 4_250], at: 4_260, expected: false }
]
for (const { title, ticks, at, expected } of readings) {
  test(`should ${expected ? 'suspect' : 'accept'} ${title}`, () => {
    const guard = new PauseGuard({ longestGap: 750, settling: 250 })
    for (const tick of ticks) guard.tick(tick)
    assert.is(guard.mayBeBuffered(at), expected)
  })
}

test('should report each pause once', () => {
  const guard = new PauseGuard({ longestGap: 750, settling: 250 })
  assert.equal([0, 250, 4_000, 4_250].map(now => guard.tick(now)), [false, false, true, false])
})

test.run()

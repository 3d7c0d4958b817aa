import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CallBudget, type CallPriority } from './callBudget.js'
import { HeldLease } from './heldLease.js'
import { SuspensionClock } from './suspensionClock.js'
import { LeaseRenewer, type LeaseEffect, type LeaseMessage, type RoleRecord } from './roleLease.js'

const TIME_TO_LIVE = 9_000
const holder = { host: 'entry-0', incarnation: 1 }
const other = { host: 'entry-1', incarnation: 1 }
const held: RoleRecord = { holder: other, epoch: 4, renewal: 2, isReleased: false }

function writtenRecord (effects: LeaseEffect[]): RoleRecord | undefined {
  return effects.flatMap(effect => effect.kind === 'write-role' ? [effect.record] : [])[0]
}

function createHolder (): LeaseRenewer {
  const renewer = new LeaseRenewer(holder, TIME_TO_LIVE)
  renewer.handle({ kind: 'want', isWanted: true }, 0)
  renewer.handle({ kind: 'role-read', record: undefined, keyRevision: 0 }, 0)
  renewer.handle({ kind: 'role-written', outcome: { kind: 'won', revision: 1 } }, 1_000)
  return renewer
}

const moments = [
  { title: 'hold a lease before its margin', now: 8_000, isHeld: true },
  { title: 'not hold a lease in its margin, counted from before the call', now: 8_150, isHeld: false },
  { title: 'not hold a lease after a pause', now: 900_000, isHeld: false }
]
for (const { title, now, isHeld } of moments) {
  test(`should ${title}`, () => {
    const lease = new HeldLease(TIME_TO_LIVE)
    lease.confirm(0)
    assert.is(lease.isHeld(now), isHeld)
    assert.is(createHolder().epoch(now), isHeld ? 1 : undefined)
  })
}

const takeovers = [
  { title: 'take a released role at once', record: { ...held, isReleased: true }, at: 0, epoch: 5 },
  { title: 'not take a role that was renewed lately', record: held, at: TIME_TO_LIVE - 1, epoch: undefined },
  { title: 'take a role whose record was unchanged for the time to live', record: held, at: TIME_TO_LIVE, epoch: 5 }
]
for (const { title, record, at, epoch } of takeovers) {
  test(`should ${title}`, () => {
    const renewer = new LeaseRenewer(holder, TIME_TO_LIVE)
    renewer.handle({ kind: 'want', isWanted: true }, 0)
    const early = renewer.handle({ kind: 'role-read', record, keyRevision: 7 }, 0)
    const effects = at === 0 ? early : renewer.handle({ kind: 'tick' }, at)
    assert.is(writtenRecord(effects)?.epoch, epoch)
  })
}

test('should keep the epoch while it renews, and renew in time for two failures', () => {
  const renewer = createHolder()
  assert.equal(renewer.handle({ kind: 'tick' }, 2_000), [])
  assert.equal(writtenRecord(renewer.handle({ kind: 'tick' }, 3_000)), { holder, epoch: 1, renewal: 1, isReleased: false })
})

test('should not hold the role after it lost a write', () => {
  const renewer = createHolder()
  renewer.handle({ kind: 'tick' }, 3_000)
  assert.equal(renewer.handle({ kind: 'role-written', outcome: { kind: 'lost' } }, 3_100), [{ kind: 'read-role' }])
  assert.is(renewer.epoch(3_100), undefined)
  renewer.handle({ kind: 'role-read', record: { ...held, epoch: 2 }, keyRevision: 9 }, 3_200)
  assert.is(renewer.epoch(3_200), undefined)
})

test('should retry an unanswered write on the same revision, and release the role when it is not wanted', () => {
  const renewer = createHolder()
  const [first] = renewer.handle({ kind: 'tick' }, 3_000)
  renewer.handle({ kind: 'call-failed' }, 5_000)
  assert.equal(renewer.handle({ kind: 'tick' }, 6_000), [first])
  renewer.handle({ kind: 'role-written', outcome: { kind: 'won', revision: 2 } }, 6_100)
  assert.is(writtenRecord(renewer.handle({ kind: 'want', isWanted: false }, 6_200))?.isReleased, true)
  assert.is(renewer.epoch(6_200), undefined)
})

const EPOCHS_PER_ERA = 2 ** 32
const copied: RoleRecord = { ...held, epoch: EPOCHS_PER_ERA + 4 }
const returns = [
  { title: 'an older copy has it released', record: { ...copied, isReleased: true } },
  { title: 'an older copy does not have it yet', record: undefined },
  { title: 'an older copy has an earlier term of this instance', record: { ...copied, holder } },
  { title: 'an older copy has a term of another instance', record: copied }
]
for (const { title, record } of returns) {
  // Guards against a fencing token that was used before the store came back, by a holder whose record was lost.
  test(`should take a role with a higher epoch than any lost one, after every lost lease, where ${title}`, () => {
    const renewer = new LeaseRenewer(holder, TIME_TO_LIVE)
    renewer.handle({ kind: 'want', isWanted: true }, 0)
    renewer.handle({ kind: 'role-read', record: { ...held, epoch: EPOCHS_PER_ERA + 6 }, keyRevision: 40, era: 1 }, 0)
    renewer.handle({ kind: 'tick' }, 3_000)
    const early = renewer.handle({ kind: 'role-read', record, keyRevision: 20, era: 2 }, 4_000)
    assert.equal(early, [])
    const late = renewer.handle({ kind: 'tick' }, 4_000 + TIME_TO_LIVE - 1)
    assert.is(writtenRecord(late), undefined)
    if (late.length > 0) renewer.handle({ kind: 'role-read', record, keyRevision: 20, era: 2 }, 4_000 + TIME_TO_LIVE - 1)
    const effects = renewer.handle({ kind: 'tick' }, 4_000 + TIME_TO_LIVE)
    assert.is(writtenRecord(effects)?.epoch, 2 * EPOCHS_PER_ERA + 21)
    assert.is(renewer.formerHeldUntil, 4_000 + HeldLease.safeDuration(TIME_TO_LIVE))
  })
}

const lostTerms: { title: string, message: LeaseMessage }[] = [
  { title: 'its renewal is applied in another era', message: { kind: 'role-written', outcome: { kind: 'won', revision: 9, era: 2 } } },
  { title: 'its renewal is refused in another era', message: { kind: 'role-written', outcome: { kind: 'lost', era: 2 } } },
  { title: 'another instance knows of a higher epoch', message: { kind: 'epoch-seen', epoch: 2 * EPOCHS_PER_ERA } }
]
for (const { title, message } of lostTerms) {
  test(`should not hold the role once ${title}`, () => {
    const renewer = new LeaseRenewer(holder, TIME_TO_LIVE)
    renewer.handle({ kind: 'want', isWanted: true }, 0)
    renewer.handle({ kind: 'role-read', record: { ...copied, isReleased: true }, keyRevision: 7, era: 1 }, 0)
    renewer.handle({ kind: 'role-written', outcome: { kind: 'won', revision: 8, era: 1 } }, 100)
    assert.is(renewer.epoch(200), EPOCHS_PER_ERA + 8)
    renewer.handle({ kind: 'tick' }, 3_100)
    renewer.handle(message, 3_200)
    assert.is(renewer.epoch(3_200), undefined)
  })
}

// Builds before this one count on from the record and know no eras.
test('should count on from the record of a build that knows no eras, and be counted on from by it', () => {
  const renewer = new LeaseRenewer(holder, TIME_TO_LIVE)
  renewer.handle({ kind: 'want', isWanted: true }, 0)
  renewer.handle({ kind: 'role-read', record: { ...held, isReleased: true }, keyRevision: 7, era: 1 }, 0)
  const taken = writtenRecord(renewer.handle({ kind: 'tick' }, TIME_TO_LIVE))
  assert.is(taken?.epoch, EPOCHS_PER_ERA + 8)
  const counted = { ...held, epoch: EPOCHS_PER_ERA + 9, isReleased: true }
  const next = new LeaseRenewer(holder, TIME_TO_LIVE)
  next.handle({ kind: 'want', isWanted: true }, 0)
  assert.is(writtenRecord(next.handle({ kind: 'role-read', record: counted, keyRevision: 9, era: 1 }, 0))?.epoch, EPOCHS_PER_ERA + 10)
})

test('should keep the sum of all shares under the rates of the fleet', () => {
  const budgets = Array.from({ length: 340 }, () => new CallBudget({ readsPerSecond: 1_600, writesPerSecond: 300 }, 0))
  for (const budget of budgets) budget.setLiveMembers(340, 0)
  let writes = 0
  for (let now = 0; now < 100_000; now += 100) {
    for (const budget of budgets) writes += budget.take('write', 'claims', now) ? 1 : 0
  }
  assert.ok(writes <= 300 * 100 + 340 * 5)
  assert.ok(writes >= 300 * 99)
})

test('should leave a reserve to calls of higher priority', () => {
  const taken = (priority: CallPriority): number => {
    const budget = new CallBudget({ readsPerSecond: 20, writesPerSecond: 20 }, 0)
    return Array.from({ length: 200 }, () => budget.take('write', priority, 0)).filter(Boolean).length
  }
  assert.equal([taken('claims'), taken('configuration'), taken('membership')], [100, 75, 50])
})

test('should count waiting watches against the rate of reads', () => {
  const budget = new CallBudget({ readsPerSecond: 10, writesPerSecond: 10 }, 0)
  budget.setWatches(10, 0)
  for (let index = 0; index < 100; index++) budget.take('read', 'claims', 0)
  assert.not(budget.take('read', 'claims', 60_000))
})

test('should include a suspension of the machine, and ignore a wall clock that is set back', () => {
  const clock = new SuspensionClock()
  assert.is(clock.now({ monotonic: 100, wall: 5_000 }), 100)
  assert.is(clock.now({ monotonic: 200, wall: 5_100 }), 200)
  assert.is(clock.now({ monotonic: 300, wall: 9_200 }), 4_300)
  assert.is(clock.now({ monotonic: 400, wall: 2_000 }), 4_400)
})

// Regression: when the wall clock was set forward, a candidate took over from a live holder at once.
test('should wait for another holder on a clock that does not run ahead', () => {
  const renewer = new LeaseRenewer(holder, TIME_TO_LIVE)
  renewer.handle({ kind: 'want', isWanted: true }, 0)
  renewer.handle({ kind: 'role-read', record: held, keyRevision: 7 }, 0, 0)
  assert.is(writtenRecord(renewer.handle({ kind: 'tick' }, 60_000, 1_000)), undefined)
  renewer.handle({ kind: 'role-read', record: held, keyRevision: 7 }, 60_001, 1_001)
  assert.is(writtenRecord(renewer.handle({ kind: 'tick' }, 68_000, TIME_TO_LIVE))?.epoch, 5)
  assert.is(renewer.formerHeldUntil, HeldLease.safeDuration(TIME_TO_LIVE))
})

test('should report until when the previous holder may have acted', () => {
  const renewer = new LeaseRenewer({ host: 'b', incarnation: 1 }, 1_000)
  const record = { holder: { host: 'a', incarnation: 1 }, epoch: 3, renewal: 1, isReleased: false }
  renewer.handle({ kind: 'want', isWanted: true }, 0)
  let effects: LeaseEffect[] = [{ kind: 'read-role' }]
  for (let now = 500; now <= 1_500; now += 100) {
    effects = effects[0]?.kind === 'read-role'
      ? renewer.handle({ kind: 'role-read', record, keyRevision: 7 }, now)
      : renewer.handle({ kind: 'tick' }, now)
  }
  assert.equal(effects.map(({ kind }) => kind), ['write-role'])
  assert.is(renewer.formerHeldUntil, 500 + 900)
})

test.run()

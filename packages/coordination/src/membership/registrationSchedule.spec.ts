import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../common/index.js'
import { RegistrationSchedule } from './registrationSchedule.js'

const READ_AT = 1_000
const cases = [
  { title: 'not read the list again soon after', liveMembers: 3, now: READ_AT + 200_000, isDue: false },
  { title: 'read the list again after some minutes', liveMembers: 3, now: READ_AT + 400_000, isDue: true },
  { title: 'read the list at once when no other live member is known', liveMembers: 1, now: READ_AT + 1, isDue: true },
  { title: 'leave it to gossip when one other live member is known', liveMembers: 2, now: READ_AT + 1, isDue: false }
]
for (const { title, liveMembers, now, isDue } of cases) {
  test(`should ${title}`, () => {
    const schedule = new RegistrationSchedule(new SeededRandom(1))
    assert.ok(schedule.isListDue(liveMembers, READ_AT))
    schedule.onListRead(READ_AT)
    assert.is(schedule.isListDue(liveMembers, now), isDue)
  })
}

test.run()

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AnswerRun, type AnswerRunEffect, type AnswerRunMessage } from '@wasabihead/coordination'
import { checkWholeAnswers, tokenText, type CallerEvent } from './history.js'
import { WholeAnswerProof } from './wholeAnswer.js'

const asked: CallerEvent = { kind: 'asked', request: 'a', tokenCount: 2 }
const answered: CallerEvent = { kind: 'answered', request: 'a', weightVersion: 'v1', tokenCount: 2 }
const refused: CallerEvent = { kind: 'refused', request: 'a', refusal: 'no-replica' }
const received = (sequence: number, request = 'a', weightVersion = 'v1'): CallerEvent =>
  ({ kind: 'received', request: 'a', sequence, text: tokenText(request, weightVersion, sequence) })

const histories: Array<{ title: string, events: CallerEvent[], isBroken: boolean }> = [
  { title: 'a whole answer', events: [asked, received(0), received(1), answered], isBroken: false },
  { title: 'a refusal after a part of the answer', events: [asked, received(0), refused], isBroken: false },
  { title: 'an answer that stops early', events: [asked, received(0), answered], isBroken: true },
  { title: "another request's token", events: [asked, received(0), received(1, 'b'), answered], isBroken: true },
  { title: 'a mixture of versions', events: [asked, received(0), received(1, 'a', 'v2'), answered], isBroken: true },
  { title: 'a mixture of versions before a refusal', events: [asked, received(0), received(1, 'a', 'v2'), refused], isBroken: true },
  { title: 'a token delivered twice', events: [asked, received(0), received(0), received(1), answered], isBroken: true },
  { title: 'a token after the end', events: [asked, received(0), answered, received(1)], isBroken: true },
  { title: 'no final answer', events: [asked, received(0)], isBroken: true }
]
for (const { title, events, isBroken } of histories) {
  test(`should find ${title} ${isBroken ? 'broken' : 'sound'}`, () => {
    assert.is(checkWholeAnswers(events).length, isBroken ? 1 : 0)
  })
}

/** Accepts every part as one of its own attempt, as if the nonce and the weight version were not checked. */
class UnboundAnswerRun extends AnswerRun {
  private _nonce = ''

  override handle (message: AnswerRunMessage, now: number): AnswerRunEffect[] {
    if (message.kind === 'attempt-prepared') this._nonce = message.nonce
    if (message.kind !== 'part') return super.handle(message, now)
    const part = { ...message.part, nonce: this._nonce, weightVersion: this.weightVersion }
    return super.handle({ ...message, part }, now)
  }
}

test('should hold over seeded runs that answer, resume, refuse and misdeliver', () => {
  const proof = new WholeAnswerProof()
  const totals = { answered: 0, refused: 0, resumed: 0, misdelivered: 0, silent: 0, afterEnd: 0 }
  for (let seed = 1; seed <= 30; seed++) {
    const { counts, violations } = proof.run(seed)
    assert.equal(violations, [], `seed ${seed}`)
    for (const name of Object.keys(totals) as Array<keyof typeof totals>) totals[name] += counts[name] ?? 0
  }
  for (const [name, count] of Object.entries(totals)) assert.ok(count > 0, `no run had ${name}`)
})

test('should find a breach where answers are not bound to their request', () => {
  const proof = new WholeAnswerProof(settings => new UnboundAnswerRun(settings))
  const seeds = Array.from({ length: 10 }, (_, index) => index + 1)
  assert.ok(seeds.some(seed => proof.run(seed).violations.length > 0))
})

test.run()

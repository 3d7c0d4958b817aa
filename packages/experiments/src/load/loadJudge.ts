/** Checks the history of a load run against the system's promises, from the callers' and the plain service's records alone. */
import type { RecordedCall } from '@wasabihead/standins'
import type { RequestRecord, Send } from './loadCaller.js'

const AT_MOST_ONCE_KIND = 'uniform-order'
const DURABLE_KIND = 'policy-summary'

/** A broken promise, with the request that it was given for and the records that show it. */
export interface LoadBreach {
  promise: string
  request: string
  evidence: string
}

/** Finds broken promises in the records of the requests and of the calls that the plain service ran. */
export function judgeLoad (records: readonly RequestRecord[], calls: readonly RecordedCall[]): LoadBreach[] {
  const landed = countOrderRuns(calls)
  return records.flatMap(record => [
    ...findWrongAnswers(record),
    ...(record.request.kind === AT_MOST_ONCE_KIND ? judgeOnce(record, landed.get(keyOf(record)) ?? 0) : []),
    ...(record.request.kind === DURABLE_KIND ? judgeDurable(record) : [])
  ])
}

function countOrderRuns (calls: readonly RecordedCall[]): Map<string, number> {
  const landed = new Map<string, number>()
  for (const call of calls.filter(({ path }) => path === '/orders')) {
    landed.set(call.idempotencyKey, (landed.get(call.idempotencyKey) ?? 0) + 1)
  }
  return landed
}

function findWrongAnswers (record: RequestRecord): LoadBreach[] {
  return record.sends.filter(({ outcome }) => outcome.kind === 'wrong').map(send =>
    breach('Each caller gets the whole answer to its own request', record, send))
}

function judgeOnce (record: RequestRecord, landed: number): LoadBreach[] {
  const breaches: LoadBreach[] = []
  if (landed > 1) breaches.push(breach(`A request marked non-idempotent runs at most once; it ran ${landed} times`, record))
  const isAnswered = record.sends.some(({ outcome }) => outcome.kind === 'whole')
  if (isAnswered && landed === 0) breaches.push(breach('An answer is given only to a request that ran', record))
  const isAllNotRun = record.sends.every(({ outcome }) => outcome.kind === 'refused' && outcome.notRun === true)
  if (isAllNotRun && landed > 0) breaches.push(breach('When a refusal says "not run", the request did not run', record))
  return breaches
}

/** A durable request that was accepted, as an `in-progress` refusal to any of its sends shows, must get its whole answer. */
function judgeDurable (record: RequestRecord): LoadBreach[] {
  const isAccepted = record.sends.some(({ outcome }) => outcome.kind === 'refused' && outcome.type === 'in-progress')
  const isWhole = record.sends.some(({ outcome }) => outcome.kind === 'whole')
  return isAccepted && !isWhole ? [breach('Every accepted durable request gets its whole answer', record)] : []
}

function keyOf (record: RequestRecord): string {
  return record.request.idempotencyKey ?? ''
}

function breach (promise: string, record: RequestRecord, send?: Send): LoadBreach {
  return {
    promise,
    request: `${record.request.kind} ${keyOf(record)}`,
    evidence: JSON.stringify(send ?? record.sends.map(({ outcome }) => outcome))
  }
}

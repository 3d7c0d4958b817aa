/** Decisions on one claim, given its latest record: pure functions that return a reply and, where needed, a new record. */
import type { Milliseconds } from '../common/index.js'
import type { Claim, ClaimReply, ClaimReport, ClaimRequest, ClaimResolution } from './messages.js'

/** A reply, and the record that must be written before the reply may be given. */
export interface ClaimDecision {
  reply: ClaimReply
  record?: Claim
}

/** Unique identifier of a claim within an environment. */
export function claimId (claim: Pick<Claim, 'workspace' | 'idempotencyKey'>): string {
  return `${claim.workspace}\n${claim.idempotencyKey}`
}

/** Decides on a request to claim. */
export function decideClaim (request: ClaimRequest, known: Claim | undefined): ClaimDecision {
  if (known !== undefined && known.requestDigest !== request.requestDigest) return { reply: { kind: 'conflict' } }
  if (known === undefined) return grant(request)
  switch (known.state) {
    case 'released': return decideReleased(request, known)
    case 'done': return { reply: replyOfDone(known) }
    case 'unknown': return { reply: { kind: 'unknown' } }
    case 'claimed': return decideClaimed(request, known)
  }
}

/** Decides on a report of an executor. */
export function decideReport (report: ClaimReport, known: Claim | undefined): ClaimDecision {
  if (known === undefined) return decideUnrecorded(report)
  if (known.attemptToken !== report.attemptToken) return decideOtherAttempt(report, known)
  if (known.state === report.state) return { reply: { kind: 'recorded' } }
  // The executor's own report replaces an outcome that the shard's owner had to record as unknown.
  const isOpen = known.state === 'claimed' || known.state === 'unknown'
  if (!isOpen) return { reply: { kind: 'conflict' } }
  return { reply: { kind: 'recorded' }, record: settle(known, report) }
}

/**
 * Decides on an operator's resolution. Only an unknown outcome can be resolved.
 * @param wall wall-clock time of the decision
 * @param largestPause how long after its deadline an attempt may still send
 */
export function decideResolution (
  resolution: ClaimResolution, known: Claim | undefined, wall: Milliseconds, largestPause: Milliseconds
): ClaimDecision {
  if (known?.state !== 'unknown') return { reply: { kind: 'conflict' } }
  const resolvedBy = resolution.author
  if (resolution.outcome === 'ran') {
    const answer = resolution.answer === undefined ? {} : { answer: resolution.answer }
    return { reply: { kind: 'recorded' }, record: { ...known, ...answer, state: 'done', resolvedBy } }
  }
  const retryAfter = (known.deadlineAt ?? known.recordedAt) + largestPause - wall
  if (retryAfter > 0) return { reply: { kind: 'too-early', retryAfter } }
  return { reply: { kind: 'recorded' }, record: { ...known, state: 'released', resolvedBy } }
}

function replyOfDone (known: Claim): ClaimReply {
  if (known.storedAnswer !== undefined) return { kind: 'done-stored', storedAnswer: known.storedAnswer }
  return known.answer === undefined ? { kind: 'answer-not-kept' } : { kind: 'done', answer: known.answer }
}

/** The claim call of an abandoned attempt may still be in flight. The release is recorded first, so that call is not granted. */
function decideUnrecorded (report: ClaimReport): ClaimDecision {
  if (report.state !== 'released' || report.abandoned === undefined) return { reply: { kind: 'conflict' } }
  const { request: _request, maximumBacklog: _maximumBacklog, ...claim } = report.abandoned
  return { reply: { kind: 'recorded' }, record: { ...claim, state: 'released' } }
}

function grant (request: ClaimRequest): ClaimDecision {
  const { maximumBacklog: _, ...claim } = request
  return { reply: { kind: 'granted' }, record: { ...claim, state: 'claimed' } }
}

/** Refuses a late copy of the released attempt itself: if it were granted, nothing would ever release it again. */
function decideReleased (request: ClaimRequest, known: Claim): ClaimDecision {
  return known.attemptToken === request.attemptToken ? { reply: { kind: 'conflict' } } : grant(request)
}

/**
 * Grants the same attempt again, since the reply to the first grant may have been lost. A deposed owner may do so without
 * reading the head: an attempt that has ended or is past its deadline does not send on a grant.
 */
function decideClaimed (request: ClaimRequest, known: Claim): ClaimDecision {
  if (known.attemptToken === request.attemptToken) return { reply: { kind: 'granted' } }
  return { reply: { kind: 'in-progress', executor: known.executor } }
}

/** Durable work may run more than once; the first recorded answer is the one that every caller gets. */
function decideOtherAttempt (report: ClaimReport, known: Claim): ClaimDecision {
  const isFirstAnswer = known.treatment === 'durable' && known.state !== 'done' && report.state === 'done'
  if (!isFirstAnswer) return { reply: { kind: 'conflict' } }
  return { reply: { kind: 'recorded' }, record: settle(known, report) }
}

function settle (known: Claim, report: ClaimReport): Claim {
  const { request, ...kept } = known
  const isRequestNeeded = known.treatment === 'durable' && report.state === 'unknown' && request !== undefined
  return {
    ...kept,
    ...(isRequestNeeded ? { request } : {}),
    state: report.state,
    ...(report.answer === undefined ? {} : { answer: report.answer }),
    ...(report.storedAnswer === undefined ? {} : { storedAnswer: report.storedAnswer })
  }
}

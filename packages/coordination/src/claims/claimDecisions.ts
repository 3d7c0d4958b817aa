/** What is decided on one claim, given its latest record. Pure functions: a reply and, where needed, a new record. */
import type { Milliseconds } from '../common/index.js'
import type { Claim, ClaimReply, ClaimReport, ClaimRequest, ClaimResolution } from './messages.js'

/** A reply, with the record that has to be won before the reply may be given. */
export interface ClaimDecision {
  reply: ClaimReply
  record?: Claim
}

/** Identity of a claim within the fleet. */
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

/** Decides on an executor's report. */
export function decideReport (report: ClaimReport, known: Claim | undefined): ClaimDecision {
  if (known === undefined) return decideUnrecorded(report)
  if (known.attemptToken !== report.attemptToken) return decideOtherAttempt(report, known)
  if (known.state === report.state) return { reply: { kind: 'recorded' } }
  // What the executor itself knows settles an outcome that its owner had to call unknown.
  const isOpen = known.state === 'claimed' || known.state === 'unknown'
  if (!isOpen) return { reply: { kind: 'conflict' } }
  return { reply: { kind: 'recorded' }, record: close(known, report) }
}

/** Decides on an operator's resolution. Only an unknown outcome can be resolved. */
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

/** The claim call of an abandoned attempt may still be under way: the release is recorded first, and then stops it. */
function decideUnrecorded (report: ClaimReport): ClaimDecision {
  if (report.state !== 'released' || report.abandoned === undefined) return { reply: { kind: 'conflict' } }
  const { request: _request, maximumBacklog: _maximumBacklog, ...claim } = report.abandoned
  return { reply: { kind: 'recorded' }, record: { ...claim, state: 'released' } }
}

function grant (request: ClaimRequest): ClaimDecision {
  const { maximumBacklog: _, ...claim } = request
  return { reply: { kind: 'granted' }, record: { ...claim, state: 'claimed' } }
}

/** A late copy of an attempt that was given up must not be granted: nobody would ever release it again. */
function decideReleased (request: ClaimRequest, known: Claim): ClaimDecision {
  return known.attemptToken === request.attemptToken ? { reply: { kind: 'conflict' } } : grant(request)
}

/**
 * The answer to a grant may have been lost, so the same attempt is granted again. A deposed owner may do that from memory:
 * an attempt that has ended, or is past its deadline, knows that itself and does not send.
 */
function decideClaimed (request: ClaimRequest, known: Claim): ClaimDecision {
  if (known.attemptToken === request.attemptToken) return { reply: { kind: 'granted' } }
  return { reply: { kind: 'in-progress', executor: known.executor } }
}

/** Durable work may run twice; its first recorded answer is what everyone gets. */
function decideOtherAttempt (report: ClaimReport, known: Claim): ClaimDecision {
  const isFirstAnswer = known.treatment === 'durable' && known.state !== 'done' && report.state === 'done'
  if (!isFirstAnswer) return { reply: { kind: 'conflict' } }
  return { reply: { kind: 'recorded' }, record: close(known, report) }
}

function close (known: Claim, report: ClaimReport): Claim {
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

/** Messages to `Membership`, and the effects that it returns. */
import type { Member } from './memberTable.js'

/** The fields that order one entry, without its addresses, for comparing two tables cheaply. */
export interface MemberDigest {
  host: string
  incarnation: number
  version: number
  state: Member['state']
}

/** A page of a table in host order: all hosts after `after`, up to the last digest, or to the end if the page is not full. */
export interface DigestPage {
  after: string
  digests: MemberDigest[]
}

/** A peer's answer to a page: its entries that are newer or missing in the page, and hosts whose newer entries it requests. */
export interface PageAnswer {
  members: Member[]
  wanted: string[]
}

/** A message to `Membership`. */
export type MembershipMessage =
  | { kind: 'tick' }
  /** Entries received from a peer. */
  | { kind: 'heard', members: readonly Member[] }
  /** Entries registered in the key-value service. After an instance stops, its entry remains until the lease expires. */
  | { kind: 'registered', members: readonly Member[] }
  /** A probe by a peer arrived; the `answer` effect carries the updates to piggyback on its acknowledgement. */
  | { kind: 'probed', members: readonly Member[] }
  /** The target acknowledged a direct or an indirect probe. */
  | { kind: 'acknowledged', probeId: number, members: readonly Member[] }
  | { kind: 'probe-failed', probeId: number }
  /** A peer sent a page of its table for comparison; the `answer-page` effect carries the result. */
  | { kind: 'page-received', page: DigestPage }
  | { kind: 'page-answered', host: string, answer: PageAnswer }
  /** This instance's own entry has changed, and peers should receive it soon. */
  | { kind: 'announce' }
  /** This instance starts to leave. */
  | { kind: 'leave' }

/** What the daemon has to do. It reports a probe without an answer before the timeout as `probe-failed`. */
export type MembershipEffect =
  | { kind: 'probe', probeId: number, target: Member, news: Member[] }
  /** Ask `helper` to probe `target`; several helpers share one probe id, and the first acknowledgement completes it. */
  | { kind: 'probe-through', probeId: number, helper: Member, target: Member, news: Member[] }
  | { kind: 'push', target: Member, news: Member[] }
  | { kind: 'answer', news: Member[] }
  | { kind: 'compare-page', target: Member, page: DigestPage }
  | { kind: 'answer-page', answer: PageAnswer }

/** Messages that the membership decisions take, and the effects that they ask for. */
import type { Member } from './memberTable.js'

/** The order of one entry without its addresses, for comparing two tables cheaply. */
export interface MemberDigest {
  host: string
  incarnation: number
  version: number
  state: Member['state']
}

/** A page of a table in host order: every host after `after` up to the last digest, or to the end if the page is short. */
export interface DigestPage {
  after: string
  digests: MemberDigest[]
}

/** What the callee of a synchronisation answers: entries newer than the page's, and hosts whose entries it wants. */
export interface PageAnswer {
  members: Member[]
  wanted: string[]
}

/** A message to the decisions. */
export type MembershipMessage =
  | { kind: 'tick' }
  /** Entries that a peer told. */
  | { kind: 'heard', members: readonly Member[] }
  /** Entries registered in the key-value service, which outlive their instances by their leases. */
  | { kind: 'registered', members: readonly Member[] }
  /** A probe of a peer arrived; `answer` effects carry the news to piggyback. */
  | { kind: 'probed', members: readonly Member[] }
  /** The target answered a direct or an indirect probe. */
  | { kind: 'acknowledged', probeId: number, members: readonly Member[] }
  | { kind: 'probe-failed', probeId: number }
  /** A peer compares a page of its table with this one; the `answer-page` effect carries the result. */
  | { kind: 'page-received', page: DigestPage }
  | { kind: 'page-answered', host: string, answer: PageAnswer }
  /** This instance's own entry holds something that others should see soon. */
  | { kind: 'announce' }
  /** This instance begins to leave. */
  | { kind: 'leave' }

/** What the daemon has to do. A probe that gets no answer in time is told as `probe-failed`. */
export type MembershipEffect =
  | { kind: 'probe', probeId: number, target: Member, news: Member[] }
  /** Ask `helper` to probe `target`; several helpers share one probe id and the first acknowledgement counts. */
  | { kind: 'probe-through', probeId: number, helper: Member, target: Member, news: Member[] }
  | { kind: 'push', target: Member, news: Member[] }
  | { kind: 'answer', news: Member[] }
  | { kind: 'compare-page', target: Member, page: DigestPage }
  | { kind: 'answer-page', answer: PageAnswer }

/** A program that must send each invoice at most once, whichever of its processes is asked: the claim log, embedded. */
import {
  ClaimShard, contentDigest, shardHeadSchema,
  type ClaimEffect, type ClaimMessage, type ClaimReply, type InstanceIdentity, type Milliseconds
} from '@wasabihead/coordination'
import type { MemoryStore } from './memoryStore.js'

const HEAD_KEY = 'invoices/claims/head'

/** One process of the program. It drives one shard of the claim log: messages in, effects out. */
export class InvoiceSender {
  private readonly _shard: ClaimShard
  private readonly _replies = new Map<number, ClaimReply>()
  private _lastCall = 0

  constructor (
    private readonly _self: InstanceIdentity,
    private readonly _store: MemoryStore,
    private readonly _send: (invoice: string) => void
  ) {
    this._shard = new ClaimShard(_self)
  }

  /** Becomes the shard's owner, as this process does where it believes that it is the first choice. */
  takeOver (now: Milliseconds): void {
    this._handle({ kind: 'take-over' }, now)
    this._handle({ kind: 'tick', wall: now, live: [this._self] }, now)
  }

  /** Sends the invoice if nobody has claimed it before; gives the log's reply. */
  send (invoice: string, now: Milliseconds): ClaimReply['kind'] {
    const claim = { workspace: 'invoices', idempotencyKey: invoice, attemptToken: `${this._self.host}/${invoice}/${now}` }
    const reply = this._ask(callId => ({
      kind: 'claim',
      callId,
      request: {
        ...claim,
        kind: 'send-invoice',
        treatment: 'at-most-once',
        requestDigest: contentDigest(invoice),
        executor: this._self,
        recordedAt: now
      }
    }), now)
    if (reply.kind !== 'granted') return reply.kind
    // The grant came after its write was won, so that no other process can have it too.
    this._send(invoice)
    this._ask(callId => ({ kind: 'report', callId, report: { ...claim, state: 'done', answer: { status: 200, body: 'sent' } } }), now)
    return 'granted'
  }

  private _ask (toMessage: (callId: number) => ClaimMessage, now: Milliseconds): ClaimReply {
    const callId = ++this._lastCall
    this._handle(toMessage(callId), now)
    return this._replies.get(callId) ?? { kind: 'unavailable', retryAfter: 1_000 }
  }

  private _handle (message: ClaimMessage, now: Milliseconds): void {
    for (const effect of this._shard.handle(message, now)) this._perform(effect, now)
  }

  /** This store answers at once and never loses an answer; a real one also has `head-write-ambiguous` and the like. */
  private _perform (effect: ClaimEffect, now: Milliseconds): void {
    switch (effect.kind) {
      case 'reply':
        this._replies.set(effect.callId, effect.reply)
        break
      case 'read-head': return this._readHead(now)
      case 'write-head': {
        const revision = this._store.compareAndSwap(HEAD_KEY, effect.expectedRevision, JSON.stringify(effect.head))
        return this._handle(revision === undefined ? { kind: 'head-write-lost' } : { kind: 'head-written', revision }, now)
      }
      default:
        // Segments and questions to executors come only with logs larger and older than this example's.
    }
  }

  private _readHead (now: Milliseconds): void {
    const value = this._store.read(HEAD_KEY)
    const head = value === undefined ? undefined : shardHeadSchema.parse(JSON.parse(value.text))
    this._handle({ kind: 'head-read', head, revision: value?.revision ?? 0 }, now)
  }
}

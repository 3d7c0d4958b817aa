/** Embeds the claim log: a program with several processes sends each invoice at most once, whichever process is asked. */
import {
  ClaimShard, contentDigest, shardHeadSchema,
  type ClaimEffect, type ClaimMessage, type ClaimReply, type InstanceIdentity, type Milliseconds
} from '@wasabihead/coordination'
import type { MemoryStore } from './memoryStore.js'

const HEAD_KEY = 'invoices/claims/head'

/** One process of the program. It passes messages to one shard of the claim log, and performs the effects that it returns. */
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

  /** Takes over the shard. A program calls this in a process that ranks first for the shard among the members it observes. */
  takeOver (now: Milliseconds): void {
    this._handle({ kind: 'take-over' }, now)
    this._handle({ kind: 'tick', wall: now, live: [this._self] }, now)
  }

  /** Sends the invoice if no process has claimed it before. Returns the kind of the claim log's reply. */
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
    // A claim is granted only after its compare-and-swap write succeeds, so no other process is granted it as well.
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

  /** This store answers synchronously and loses no answer. With a real one, `head-write-ambiguous` and the like also occur. */
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
        // Effects that read or write segments or ask executors occur only with larger or older logs than in this example.
    }
  }

  private _readHead (now: Milliseconds): void {
    const value = this._store.read(HEAD_KEY)
    const head = value === undefined ? undefined : shardHeadSchema.parse(JSON.parse(value.text))
    this._handle({ kind: 'head-read', head, revision: value?.revision ?? 0 }, now)
  }
}

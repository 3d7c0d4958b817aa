/** Cost of claims: writes to the key-value service, takeover of a shard, and memory. */
import {
  ABSENT_REVISION, CLAIM_SHARD_COUNT, ClaimShard, claimShardOf, SeededRandom, shardHeadSchema,
  type ClaimEffect, type ClaimMessage, type ClaimReply, type ClaimReport, type ClaimRequest, type InstanceIdentity,
  type Milliseconds
} from '@wasabihead/coordination'
import { usedBytes } from '../process/index.js'
import { SimulatedKeyValue, VirtualTime, type SimulatedAnswer } from '../simulation/index.js'
import { CoordinationMeasurement, type MeasurementRow } from './measurement.js'

const OWNER: InstanceIdentity = { host: 'entry-0', incarnation: 1 }
const NEXT_OWNER: InstanceIdentity = { host: 'entry-1', incarnation: 1 }
const REPLAY_TIME: Milliseconds = 60_000
const SETTLING_TIME: Milliseconds = 30_000
const REQUEST_DURATION: Milliseconds = 200
const TICK_INTERVAL: Milliseconds = 1_000
const RATES = [1, 10, 100, 1_000]
const SHARD_SIZES = [1_000, 10_000, 50_000]
const ANSWER = { status: 200, body: 'x'.repeat(200) }

/** Runs the claim shards of one instance in virtual time, on a key-value service without faults. */
class ShardDriver {
  readonly keyValue: SimulatedKeyValue
  private readonly _shards: ClaimShard[]
  private readonly _replies = new Map<number, (reply: ClaimReply) => void>()
  private _nextCallId = 1
  /** Bytes of heads and segments read so far. */
  bytesRead = 0

  constructor (readonly time: VirtualTime, keyValue: SimulatedKeyValue, identity: InstanceIdentity, shards: number) {
    this.keyValue = keyValue
    this._shards = Array.from({ length: shards }, () => new ClaimShard(identity))
  }

  /** Starts the takeover of every shard; `isOwner` becomes true when all are taken over. */
  takeOver (): void {
    this._shards.forEach((_, shard) => { this.send(shard, { kind: 'take-over' }) })
  }

  /** Whether every shard is owned. */
  get isOwner (): boolean {
    return this._shards.every(shard => shard.isOwner)
  }

  /** Sends a tick to every shard once a second, until the replay ends. */
  startTicks (): void {
    this.time.after(TICK_INTERVAL, () => {
      this._shards.forEach((_, shard) => { this.send(shard, { kind: 'tick', wall: this.time.now, live: [OWNER, NEXT_OWNER] }) })
      this.startTicks()
    })
  }

  /** Sends a claim or a report to a shard; `onReply` receives the reply, if there is one. */
  call (shard: number, call: ClaimRequest | ClaimReport, onReply: (reply: ClaimReply) => void): void {
    const callId = this._nextCallId++
    this._replies.set(callId, onReply)
    this.send(shard, 'executor' in call ? { kind: 'claim', callId, request: call } : { kind: 'report', callId, report: call })
  }

  /** Passes a message to a shard and performs the resulting effects. */
  send (shard: number, message: ClaimMessage): void {
    for (const effect of (this._shards[shard] as ClaimShard).handle(message, this.time.now)) this._perform(shard, effect)
  }

  private _perform (shard: number, effect: ClaimEffect): void {
    const head = `${shard}/head`
    switch (effect.kind) {
      case 'reply':
        this._replies.get(effect.callId)?.(effect.reply)
        this._replies.delete(effect.callId)
        return
      case 'wake-after': return this.time.after(effect.delay, () => { this.send(shard, { kind: 'wake' }) })
      case 'read-head':
        return this.keyValue.read(head, this._onAnswer(shard, entry => {
          this.bytesRead += entry?.value.length ?? 0
          const parsed = entry === undefined ? undefined : shardHeadSchema.parse(JSON.parse(entry.value))
          return { kind: 'head-read', head: parsed, revision: entry?.revision ?? ABSENT_REVISION }
        }))
      case 'write-head': {
        const write = { key: head, value: JSON.stringify(effect.head), expectedRevision: effect.expectedRevision }
        return this.keyValue.compareAndSwap(write, this._onAnswer(shard, outcome => outcome.kind === 'won'
          ? { kind: 'head-written', revision: outcome.revision }
          : { kind: 'head-write-ambiguous' }))
      }
      case 'read-segment':
        return this.keyValue.read(`${shard}/${effect.name}`, this._onAnswer(shard, entry => {
          this.bytesRead += entry?.value.length ?? 0
          return { kind: 'segment-read', name: effect.name, text: entry?.value }
        }))
      case 'write-segment': {
        const write = { key: `${shard}/${effect.name}`, value: effect.text, expectedRevision: ABSENT_REVISION }
        return this.keyValue.compareAndSwap(write, this._onAnswer(shard, () => ({ kind: 'segment-written', name: effect.name })))
      }
      case 'remove-segment': return this._remove(`${shard}/${effect.name}`)
      default:
    }
  }

  private _remove (key: string): void {
    this.keyValue.read(key, answer => {
      const revision = answer.kind === 'answered' ? answer.value?.revision : undefined
      if (revision !== undefined) this.keyValue.remove(key, revision, () => {})
    })
  }

  private _onAnswer<Value> (shard: number, toMessage: (value: Value) => ClaimMessage): (answer: SimulatedAnswer<Value>) => void {
    return answer => { if (answer.kind === 'answered') this.send(shard, toMessage(answer.value)) }
  }
}

/** Measures calls and bytes of the key-value service for each accepted request. */
export class ClaimWritesMeasurement extends CoordinationMeasurement {
  override readonly name = 'claim-writes'
  override readonly description =
    `calls and bytes of the key-value service for each claimed request, ${CLAIM_SHARD_COUNT} shards, claim and outcome, 60 s`

  override run (seed: number): MeasurementRow[] {
    return RATES.map(rate => this._replay(rate, seed))
  }

  private _replay (rate: number, seed: number): MeasurementRow {
    const time = new VirtualTime()
    const random = new SeededRandom(seed)
    const driver = new ShardDriver(time, new SimulatedKeyValue(time, random), OWNER, CLAIM_SHARD_COUNT)
    driver.takeOver()
    driver.startTicks()
    time.runUntil(SETTLING_TIME)
    const before = driver.keyValue.counts
    const delays: Milliseconds[] = []
    const requests = rate * REPLAY_TIME / 1_000
    for (let index = 0; index < requests; index++) {
      time.after(random.next() * REPLAY_TIME, () => { runRequest(driver, `key-${index}`, delay => { delays.push(delay) }) })
    }
    time.runUntil(SETTLING_TIME + REPLAY_TIME + SETTLING_TIME)
    const after = driver.keyValue.counts
    delays.sort((left, right) => left - right)
    return {
      'requests per s': rate,
      accepted: delays.length,
      'writes per request': round((after.writes - before.writes) / delays.length),
      'writes per s': round((after.writes - before.writes) * 1_000 / REPLAY_TIME),
      'reads per request': round((after.reads - before.reads) / delays.length),
      'bytes written per request': Math.round((after.bytesWritten - before.bytesWritten) / delays.length),
      'grant p50 ms': Math.round(delays[Math.floor(delays.length * 0.5)] ?? 0),
      'grant p99 ms': Math.round(delays[Math.floor(delays.length * 0.99)] ?? 0)
    }
  }
}

/** Measures what a new owner of a shard reads, and how much memory a claim takes. */
export class ClaimTakeoverMeasurement extends CoordinationMeasurement {
  override readonly name = 'claim-takeover'
  override readonly description = 'takeover of one shard by claims kept: reads, bytes, virtual time at up to 5 ms a way, memory'

  override run (seed: number): MeasurementRow[] {
    return SHARD_SIZES.map(size => this._takeOver(size, seed))
  }

  private _takeOver (size: number, seed: number): MeasurementRow {
    const time = new VirtualTime()
    const keyValue = new SimulatedKeyValue(time, new SeededRandom(seed))
    createClaims(new ShardDriver(time, keyValue, OWNER, 1), size)
    const readsBefore = keyValue.counts.reads
    const startedAt = time.now
    const heapBefore = usedBytes()
    const next = new ShardDriver(time, keyValue, NEXT_OWNER, 1)
    next.takeOver()
    while (!next.isOwner) time.runUntil(time.now + 1)
    const ownedAt = time.now
    time.runUntil(time.now + 100)
    const stored = keyValue.keys().reduce((sum, key) => sum + (keyValue.peek(key)?.value.length ?? 0), 0)
    return {
      claims: size,
      segments: keyValue.keys().length - 1,
      reads: keyValue.counts.reads - readsBefore,
      'bytes read': next.bytesRead,
      'virtual ms': Math.round(ownedAt - startedAt),
      'bytes stored per claim': Math.round(stored / size),
      'heap bytes per claim': Math.round((usedBytes() - heapBefore) / size),
      'still owner': String(next.isOwner)
    }
  }
}

function createClaims (driver: ShardDriver, size: number): void {
  driver.takeOver()
  driver.startTicks()
  driver.time.runUntil(SETTLING_TIME)
  const batch = 500
  for (let start = 0; start < size; start += batch) {
    for (let index = start; index < start + batch; index++) runRequest(driver, `key-${index}`, () => {}, 0)
    driver.time.runUntil(driver.time.now + 2_000)
  }
  driver.time.runUntil(driver.time.now + SETTLING_TIME)
}

function runRequest (driver: ShardDriver, key: string, granted: (delay: Milliseconds) => void, shard?: number): void {
  const target = shard ?? claimShardOf('harrowgate', key)
  const requestedAt = driver.time.now
  driver.call(target, requestOf(key, requestedAt), reply => {
    if (reply.kind !== 'granted') return
    granted(driver.time.now - requestedAt)
    const report: ClaimReport = { workspace: 'harrowgate', idempotencyKey: key, attemptToken: `attempt-${key}`, state: 'done', answer: ANSWER }
    driver.time.after(REQUEST_DURATION, () => { driver.call(target, report, () => {}) })
  })
}

function requestOf (key: string, now: Milliseconds): ClaimRequest {
  return {
    workspace: 'harrowgate',
    idempotencyKey: key,
    kind: 'uniform-order',
    treatment: 'at-most-once',
    requestDigest: 'd'.repeat(64),
    attemptToken: `attempt-${key}`,
    executor: OWNER,
    recordedAt: now,
    deadlineAt: now + 10_000
  }
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}

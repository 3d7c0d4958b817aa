/**
 * Where resumable streams began: their service and the version of its software. What two versions write does not fit together,
 * so that a stream goes on only at the version that began it. Callers may take a stream up at any instance; each instance
 * therefore sends the origins of its streams to a few holders, which any instance can ask.
 */
import * as z from 'zod'
import type { Replica } from '../catalog/index.js'
import { rankByRendezvous, type Milliseconds } from '../common/index.js'

/** A caller that takes a stream up may do so until its deadline; messages and clocks take the rest. */
const RETENTION_MARGIN: Milliseconds = 5_000
/** Instances that each origin is sent to, and that are asked for one; more are asked, since some may have left meanwhile. */
const HOLDERS = 3
const ASKED_HOLDERS = 5
/** Maximum number of origins retained; the oldest are evicted first. */
const MAXIMUM_ORIGINS = 50_000
const MAXIMUM_ID_LENGTH = 128
/** A replica that has started registers within this time of accepting requests. */
export const REGISTRATION_DELAY: Milliseconds = 1_000
/** In place of the version of a stream that may have begun at either of two. No replica registers it, so that none goes on. */
const AMBIGUOUS_VERSION = '\0'
const MAXIMUM_ORIGINS_OF_MESSAGE = 10_000

/** The service that began a stream, and the version of its software; empty where its replicas state none. */
export const streamOriginSchema = z.object({ service: z.string(), softwareVersion: z.string() })
/** The service that began a stream, and the version of its software; empty where its replicas state none. */
export type StreamOrigin = z.infer<typeof streamOriginSchema>

/** Origins that an instance sends to a holder: request, service, version, and milliseconds for which it may be asked for. */
export const streamOriginsMessageSchema = z.object({
  streamOrigins: z.array(z.tuple([
    z.string().max(MAXIMUM_ID_LENGTH), z.string(), z.string(), z.number().nonnegative().max(3_600_000)
  ])).max(MAXIMUM_ORIGINS_OF_MESSAGE)
})
/** Origins that an instance sends to a holder. */
export type StreamOriginsMessage = z.infer<typeof streamOriginsMessageSchema>

/** The run of the replica that began a stream, as it was registered then, and when the connection to it was opened. */
export interface BeginningRun {
  replicaRun: string
  connectedAt: Milliseconds
  /** The replica as it was registered, to ask it which run it is. */
  replica?: Replica
}

interface KnownOrigin extends StreamOrigin {
  expiresAt: Milliseconds
  /** Undefined if another instance began the stream. */
  run?: BeginningRun | undefined
}

/**
 * The instances that may hold the origin of a stream, in the order in which they are asked.
 * @param live names of the live peers
 * @param others names of the peers that are leaving or not heard, which may be alive nevertheless
 */
export function originHolders (requestId: string, live: readonly string[], others: readonly string[] = []): string[] {
  return [...rankByRendezvous(requestId, live), ...rankByRendezvous(requestId, others)].slice(0, ASKED_HOLDERS)
}

/** The origins of streams that this instance began or was told of, by the request that brought their first event. */
export class StreamOrigins {
  private readonly _origins = new Map<string, KnownOrigin>()
  /** Streams begun by this instance whose origin was not sent to its holders. */
  private readonly _unsent = new Set<string>()
  /** Streams begun by this instance. */
  private readonly _own = new Set<string>()
  /** Those of them whose origin is in no record in the store. */
  private readonly _unrecorded = new Set<string>()

  /**
   * Records that this instance has passed on the first event of a stream.
   * @param timeLeft until the deadline of the request
   * @param run absent if a peer has passed the stream on
   */
  onBegan (
    requestId: string, origin: StreamOrigin, timeLeft: Milliseconds, now: Milliseconds, run?: BeginningRun
  ): void {
    this._add(requestId, { ...origin, run, expiresAt: now + timeLeft + RETENTION_MARGIN }, now)
    this._unsent.add(requestId)
    this._own.add(requestId)
    this._unrecorded.add(requestId)
  }

  /** Applies origins that another instance sent. */
  receive ({ streamOrigins }: StreamOriginsMessage, now: Milliseconds): void {
    for (const [requestId, service, softwareVersion, timeLeft] of streamOrigins) {
      const known = this._origins.get(requestId)
      const isKnown = known !== undefined && known.expiresAt >= now
      // One of the two was sent or recorded before its sender knew that the version is ambiguous.
      const isContradicted = isKnown && known.softwareVersion !== softwareVersion
      this._add(requestId, {
        service,
        softwareVersion: isContradicted ? AMBIGUOUS_VERSION : softwareVersion,
        expiresAt: Math.max(now + timeLeft, isKnown ? known.expiresAt : -Infinity),
        run: isKnown ? known.run : undefined
      }, now)
    }
  }

  /**
   * A replica has started again with another software version. It accepts requests before its registration is read, so that the
   * version of streams begun on recent connections is not known; nobody goes on with them. Returns their number.
   * @param replicaRun the run that has ended
   * @param registeredUntil the last time at which it was certainly registered
   */
  onReplaced (replicaRun: string, registeredUntil: Milliseconds): number {
    let count = 0
    for (const [requestId, { run }] of this._origins) {
      if (run?.replicaRun !== replicaRun || run.connectedAt <= registeredUntil - REGISTRATION_DELAY) continue
      this.onAmbiguous(requestId)
      count += 1
    }
    return count
  }

  /** The stream, which this instance began, may have begun at either of two software versions. */
  onAmbiguous (requestId: string): void {
    const origin = this._origins.get(requestId)
    if (origin === undefined) return
    this._origins.set(requestId, { ...origin, softwareVersion: AMBIGUOUS_VERSION, run: undefined })
    this._unsent.add(requestId)
    this._unrecorded.add(requestId)
  }

  /** The run that began the stream; undefined if this instance did not send it there, or its version is ambiguous already. */
  beginningOf (requestId: string): BeginningRun | undefined {
    return this._origins.get(requestId)?.run
  }

  /** Where the stream began; undefined if this instance does not know. */
  find (requestId: string, now: Milliseconds): StreamOrigin | undefined {
    const origin = this._origins.get(requestId)
    if (origin === undefined || origin.expiresAt < now) return undefined
    return { service: origin.service, softwareVersion: origin.softwareVersion }
  }

  /**
   * Returns the origins to send now, by the name of their holder. Each is returned once.
   * @param isNeeded whether streams of a service may be joined wrongly; the origins of other services are sent if that changes
   */
  takeUnsent (
    holders: readonly string[], isNeeded: (service: string) => boolean, now: Milliseconds
  ): Map<string, StreamOriginsMessage> {
    const messages = new Map<string, StreamOriginsMessage>()
    if (holders.length === 0) return messages
    const needed = new Map<string, boolean>()
    for (const requestId of this._unsent) {
      const origin = this._origins.get(requestId)
      if (origin === undefined || origin.expiresAt < now) {
        this._unsent.delete(requestId)
        continue
      }
      const { service, softwareVersion, expiresAt } = origin
      const isServiceNeeded = needed.get(service) ?? isNeeded(service)
      needed.set(service, isServiceNeeded)
      if (!isServiceNeeded) continue
      this._unsent.delete(requestId)
      for (const holder of rankByRendezvous(requestId, holders).slice(0, HOLDERS)) {
        const message = messages.get(holder) ?? { streamOrigins: [] }
        messages.set(holder, message)
        message.streamOrigins.push([requestId, service, softwareVersion, Math.round(expiresAt - now)])
      }
    }
    return messages
  }

  /** Requests of open streams of this instance, oldest first, whose origins are in no record though their service needs one. */
  unrecorded (isNeeded: (service: string) => boolean, now: Milliseconds): string[] {
    const needed = new Map<string, boolean>()
    const requestIds: string[] = []
    for (const requestId of this._unrecorded) {
      const origin = this._origins.get(requestId)
      if (origin === undefined || origin.expiresAt < now) {
        this._unrecorded.delete(requestId)
        continue
      }
      const isServiceNeeded = needed.get(origin.service) ?? isNeeded(origin.service)
      needed.set(origin.service, isServiceNeeded)
      if (isServiceNeeded) requestIds.push(requestId)
    }
    return requestIds
  }

  /** Records that the store has these origins. One that has become ambiguous since is still to be recorded. */
  onRecorded ({ streamOrigins }: StreamOriginsMessage): void {
    for (const [requestId, , softwareVersion] of streamOrigins) {
      if (this._origins.get(requestId)?.softwareVersion === softwareVersion) this._unrecorded.delete(requestId)
    }
  }

  /** All records may be lost. */
  recordAgain (now: Milliseconds): void {
    for (const requestId of this._own) {
      if (this.find(requestId, now) !== undefined) this._unrecorded.add(requestId)
    }
  }

  /** The origins of those of the requests whose streams may still be taken up. */
  messageOf (requestIds: readonly string[], now: Milliseconds): StreamOriginsMessage {
    const streamOrigins: StreamOriginsMessage['streamOrigins'] = []
    for (const requestId of requestIds) {
      const origin = this._origins.get(requestId)
      if (origin === undefined || origin.expiresAt < now) continue
      streamOrigins.push([requestId, origin.service, origin.softwareVersion, Math.round(origin.expiresAt - now)])
    }
    return { streamOrigins }
  }

  private _add (requestId: string, origin: KnownOrigin, now: Milliseconds): void {
    if (requestId.length > MAXIMUM_ID_LENGTH) return
    this._origins.set(requestId, origin)
    // Entries expire roughly in the order in which they were added.
    for (const [oldest, known] of this._origins) {
      if (known.expiresAt >= now && this._origins.size <= MAXIMUM_ORIGINS) break
      this._origins.delete(oldest)
      this._unsent.delete(oldest)
      this._unrecorded.delete(oldest)
      this._own.delete(oldest)
    }
  }
}

/** Selects the replica for one request by the observed state of the replicas. */
import {
  admitPrompt, saltOf, selectReplica, type Milliseconds, type PromptAdmission, type PromptDemand, type Replica, type Selection,
  type RequestRate, type StreamOrigin
} from '@wasabihead/coordination'
import type { CallerRequest } from './callerRequest.js'
import type { GatewayState } from './gatewayState.js'

/** Delay before a caller should retry where this instance reaches no replica. */
const MINIMUM_CUT_OFF_DELAY: Milliseconds = 400
const MAXIMUM_CUT_OFF_DELAY: Milliseconds = 2_000

/** Selects replicas for one request, and records where it was sent. */
export class RequestPlacement {
  /** Picked at random from the targets of the route, by weight, unless the request goes on with a stream. */
  private _service: string
  /** The replica for which this request has reserved a send. */
  private _reserved: Replica | undefined
  /** The time of that send. */
  private _reservedFor: Milliseconds = -Infinity
  /** Where the stream began that the request goes on with; undefined for a new one. */
  private _origin: StreamOrigin | undefined

  constructor (private readonly _state: GatewayState, private readonly _request: CallerRequest) {
    this._service = pickService(_request, _state.random.next())
  }

  /** The service that handles the request. */
  get service (): string {
    return this._service
  }

  /** Where the stream began that the request goes on with, as far as is known by now; undefined for a new one. */
  get origin (): StreamOrigin | undefined {
    const { streamOrigins, suspensionAwareNow } = this._state
    const { lastEventId, requestId, resumedRequestId } = this._request.head
    const beginning = lastEventId === undefined ? requestId : resumedRequestId
    if (this._origin === undefined || beginning === undefined) return this._origin
    return streamOrigins.find(beginning, suspensionAwareNow()) ?? this._origin
  }

  /** Whether this instance can open no connection to the replicas of the service. */
  get isCutOff (): boolean {
    return this._state.links.cutOffAt(this.service) !== undefined
  }

  /** Whether a peer should serve the request, if one can. */
  get prefersPeers (): boolean {
    return this._state.links.prefersPeers(this.service, this._state.now())
  }

  /** Restricts the request to replicas that can go on with a stream. A service that the route has left is not asked. */
  continueFrom (origin: StreamOrigin): void {
    if (!this._request.route.targets.some(({ service }) => service === origin.service)) return
    this._service = origin.service
    this._origin = origin
  }

  /** Selects the replica of an earlier selection again; undefined if that run does not accept the request any more. */
  reselect ({ replica }: Selection, tried: ReadonlySet<string>): Selection | undefined {
    return this.select(tried, ({ id, startedAt }) => id === replica.id && startedAt === replica.startedAt)
  }

  /**
   * The best of the replicas that the request was not sent to yet; undefined if none can be used.
   * @param isCandidate false for replicas that are not considered
   */
  select (tried: ReadonlySet<string>, isCandidate: (replica: Replica) => boolean = () => true): Selection | undefined {
    const { fronts, loads, health, cachedParts, storedParts, speeds, zone, random } = this._state
    const now = this._state.now()
    const serving = this._serving
    const candidates = this._withinLimit(serving).filter(isCandidate)
    const demand = this._demand()
    // A replica at its rate limit can still serve fetches of the parts that it holds.
    const selectFrom = (usable: readonly Replica[]): Selection | undefined => selectReplica({
      candidates: usable, tried, holders: serving, demand
    }, {
      loads,
      health,
      cachedParts,
      stores: storedParts,
      speed: speeds.of(this.service),
      learned: this._state.waitQueues?.learnedCosts(this.service),
      zone,
      instances: fronts.placingSize(now),
      random,
      now
    })
    const paced = this._withinPace(candidates, tried)
    if (paced === candidates) return selectFrom(candidates)
    const selection = paced.length === 0 ? undefined : selectFrom(paced)
    // The pace alone must not have a request refused.
    if (selection !== undefined && this.admit(selection) !== 'refuse') return selection
    this._state.metrics.count('replica_pace_overridden_total')
    return selectFrom(candidates)
  }

  /** Whether a replica can be selected now that the request was not sent to yet. */
  hasUntriedReplica (tried: ReadonlySet<string>): boolean {
    return this._withinLimit(this._serving).some(({ id }) => !tried.has(id))
  }

  /** Whether there are replicas that accept requests, and all of them are at their rate limit. */
  get isAtLimit (): boolean {
    const serving = this._serving
    return serving.length > 0 && this._withinLimit(serving).length === 0
  }

  /**
   * Delay before a refused caller should retry: the time until the first replica accepts requests again. If replicas accept
   * requests but all of them state a rate limit, each refused caller gets a later time, so that callers return at the sum of
   * the rates. Undefined if neither is known.
   */
  get retryDelay (): Milliseconds | undefined {
    const { notices, replicaLimits, coldReplicas, retryDelays, fronts, links, suspensionAwareNow } = this._state
    const now = this._state.now()
    const cutOffAt = links.cutOffAt(this.service)
    // Nobody knows when the links return. After twice the time of the cut at most half of it was waited in vain.
    if (cutOffAt !== undefined) return Math.min(MAXIMUM_CUT_OFF_DELAY, Math.max(MINIMUM_CUT_OFF_DELAY, now - cutOffAt))
    const opensAt = this._replicas.map(replica => notices.opensAt(replica))
    const delay = Math.min(...opensAt) - now
    if (delay > 0) return Number.isFinite(delay) ? delay : undefined
    const rates = this._open.map(replica => (
      lowerRate(replicaLimits.rateOf(replica), coldReplicas.rateOf(replica, suspensionAwareNow()))))
    if (rates.includes(undefined)) return undefined
    const rate = rates.reduce<number>((sum, stated) => sum + (stated ?? 0), 0)
    return retryDelays.next(this.service, rate, fronts.knownSize ?? 1, now)
  }

  /**
   * Reserves the earliest send within the rate limits of the replicas, if it is possible by a time.
   * @param until on the clock of `GatewayState.now`
   * @returns the delay until the reserved send; undefined if none is possible in time
   */
  reserveSend (tried: ReadonlySet<string>, until: Milliseconds): Milliseconds | undefined {
    const { replicaLimits, coldReplicas, fronts, suspensionAwareNow } = this._state
    const now = this._state.now()
    let earliest: { replica: Replica, delay: Milliseconds } | undefined
    for (const replica of this._serving) {
      if (tried.has(replica.id)) continue
      const delay = this._nextSendAt(replica) - suspensionAwareNow()
      if (earliest === undefined || delay < earliest.delay) earliest = { replica, delay }
    }
    if (earliest === undefined || now + earliest.delay > until) return undefined
    this._reserved = earliest.replica
    const limitedUntil = replicaLimits.reserveSend(earliest.replica, fronts.knownNames, suspensionAwareNow())
    this._reservedFor = Math.max(limitedUntil, suspensionAwareNow() + earliest.delay)
    coldReplicas.onSent(earliest.replica, this._reservedFor)
    return this._reservedFor - suspensionAwareNow()
  }

  /** The oldest weight version that may serve the request; undefined where any may. */
  get requiredVersion (): number | undefined {
    return this._versionAnnouncedFor(this._state.oldWeights.excludeAfter)
  }

  /** Decides whether a request that was not sent yet is sent to the selected replica now. */
  admit ({ crowding }: Selection): PromptAdmission {
    const { route, workspace, receivedAt } = this._request
    const isMostUrgent = (workspace?.priority ?? route.priority) === 0
    return admitPrompt({ crowding, heldFor: this._state.now() - receivedAt, objective: route.objective, isMostUrgent })
  }

  /** Records that the request is being sent: the replica, and the stores that it saves to, will hold the parts of the prompt. */
  onSent ({ replica, salt, saves }: Selection): void {
    const { catalog, cachedParts, sentPrompts, storedParts, replicaLimits, fronts, now, suspensionAwareNow } = this._state
    const { prompt } = this._request.head
    if (this._reserved?.id === replica.id) this._reserved = undefined
    else replicaLimits.reserveSend(replica, fronts.knownNames, suspensionAwareNow())
    this._state.coldReplicas.onSent(replica, suspensionAwareNow())
    const engine = catalog.routes?.service(this.service)?.engine
    if (prompt === undefined || salt === undefined || engine === undefined) return
    cachedParts.onSent(replica.id, salt, prompt.parts, engine.cacheTokens)
    sentPrompts.add({ replicaId: replica.id, salt, parts: prompt.parts })
    for (const [index, address] of saves?.entries() ?? []) {
      const part = prompt.parts[index]
      if (address !== undefined && part !== undefined) storedParts.onSave(address, salt, part.id, now())
    }
  }

  /** Updates the estimates of the engine's speed and of fetches from stores with the time to the first byte of the answer. */
  onFirstByte (selection: Selection, sentAt: Milliseconds): void {
    const { replica, salt, wait, usualWait, fetchLoads, queuedTokens, freshTokens, crowding } = selection
    if (salt === undefined) return
    const { storedParts, speeds } = this._state
    const now = this._state.now()
    const excess = now - sentAt - wait
    const hasWaited = queuedTokens > 0 || crowding > 0 || fetchLoads.size > 0
    if (usualWait !== undefined && crowding === 0 && fetchLoads.size === 0) {
      this._state.waitQueues?.slowdowns.onFirstByte(replica.id, usualWait, now - sentAt, now)
    }
    if (!hasWaited) speeds.of(this.service).onFirstToken(freshTokens, now - sentAt)
    if (fetchLoads.size === 0) storedParts.onRequestWithoutFetch(excess, now)
    else for (const address of fetchLoads.keys()) storedParts.onFetched(address, excess, now)
  }

  /** Those of the replicas to which their rate limits allow a send now; only the reserved one, if there is a reservation. */
  private _withinLimit (replicas: readonly Replica[]): readonly Replica[] {
    const { replicaLimits, coldReplicas, fronts, suspensionAwareNow } = this._state
    const now = suspensionAwareNow()
    if (replicaLimits.isEmpty && coldReplicas.areAllWarm(now)) return replicas
    const reserved = replicas.find(({ id }) => id === this._reserved?.id)
    const isValid = reserved !== undefined &&
      coldReplicas.isReservationValid(reserved, this._reservedFor, fronts.knownNames, now)
    if (isValid) return [reserved]
    return replicas.filter(replica => this._nextSendAt(replica) <= now)
  }

  /** When this instance may send the replica its next request, by what the replica states and whether it is cold. */
  private _nextSendAt (replica: Replica): Milliseconds {
    const { replicaLimits, coldReplicas, fronts, suspensionAwareNow } = this._state
    const now = suspensionAwareNow()
    return Math.max(
      replicaLimits.nextSendAt(replica, fronts.knownNames, now), coldReplicas.nextSendAt(replica, fronts.knownNames, now)
    )
  }

  /**
   * Those of the replicas to which their pace allows a send now and that can be selected; all of them, as the same array, if no
   * pace excludes any. What a replica states itself goes before its pace.
   */
  private _withinPace (replicas: readonly Replica[], tried: ReadonlySet<string>): readonly Replica[] {
    const { serverPace, replicaLimits, coldReplicas, health, fronts, suspensionAwareNow } = this._state
    if (serverPace.isEmpty) return replicas
    const now = suspensionAwareNow()
    const names = fronts.knownNames
    const hasStatedRate = (replica: Replica): boolean => (
      replicaLimits.rateOf(replica) !== undefined || coldReplicas.rateOf(replica, now) !== undefined)
    const paced = replicas.filter(replica => hasStatedRate(replica) || serverPace.maySend(replica, names, now))
    if (paced.length === replicas.length) return replicas
    return paced.filter(({ id }) => !tried.has(id) && !health.isExcluded(id, this._state.now()))
  }

  /** The replicas that would serve a request if their rate limits allowed it. */
  private get _serving (): readonly Replica[] {
    const { loadingReplicas } = this._state
    const now = this._state.now()
    const open = this._open
    const idle = open.filter(({ id }) => !loadingReplicas.has(id, now))
    // A replica refuses requests while it loads weights.
    return idle.length > 0 ? idle : open
  }

  /** The replicas that have not asked this instance to stop sending requests, for a while or for good. */
  private get _open (): readonly Replica[] {
    const { notices } = this._state
    const now = this._state.now()
    return this._replicas.filter(replica => !notices.isClosed(replica, now))
  }

  /** The replicas that can be reached, go on with the request's stream, and have weights that are recent enough for it. */
  private get _replicas (): readonly Replica[] {
    const usable = this._reachable
    const { origin } = this
    const replicas = origin === undefined
      ? usable
      : usable.filter(({ softwareVersion = '' }) => softwareVersion === origin.softwareVersion)
    const { prompt } = this._request.head
    const required = this.requiredVersion
    if (prompt === undefined || required === undefined) return replicas
    return replicas.filter(({ weightVersions }) => (weightVersions[prompt.model] ?? 0) >= required)
  }

  /** The usable replicas; while none can be connected to, those with an idle connection that has worked since. */
  private get _reachable (): readonly Replica[] {
    const { catalog, channels, links } = this._state
    const usable = catalog.usableReplicas(this.service).filter(({ zone }) => !catalog.isEvacuated(zone))
    const cutOffAt = links.cutOffAt(this.service)
    return cutOffAt === undefined ? usable : usable.filter(({ id }) => channels.hasIdleSince(id, cutOffAt))
  }

  private _demand (): PromptDemand | undefined {
    const { catalog, oldWeights } = this._state
    const { prompt } = this._request.head
    const { routes } = catalog
    const engine = routes?.service(this.service)?.engine
    if (prompt === undefined || routes === undefined || engine === undefined) return undefined
    // The configuration may have changed since the request arrived.
    const group = routes.sharing.groupOf(this._request.workspace?.name)
    const wantedVersion = this._versionAnnouncedFor(oldWeights.avoidAfter)
    const saltFor = (weightVersion: number): string => saltOf({ group, model: prompt.model, weightVersion })
    return { prompt, engine, saltFor, wantedVersion }
  }

  /** The newest weight version that may have been announced at least this long ago. */
  private _versionAnnouncedFor (duration: Milliseconds): number | undefined {
    const { catalog, suspensionAwareNow } = this._state
    const { prompt } = this._request.head
    return prompt === undefined ? undefined : catalog.versionPossiblyAnnouncedBy(prompt.model, suspensionAwareNow() - duration)
  }
}

/** The lower of two rates; undefined if there is neither. */
function lowerRate (first: RequestRate | undefined, second: RequestRate | undefined): RequestRate | undefined {
  return first === undefined || second === undefined ? first ?? second : Math.min(first, second)
}

function pickService ({ route }: CallerRequest, sample: number): string {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0)
  let left = sample * total
  for (const { service, weight } of route.targets) {
    left -= weight
    if (left < 0) return service
  }
  return route.targets.at(-1)?.service ?? ''
}

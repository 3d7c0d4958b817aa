/** Where one request goes: what is known of the replicas, applied to it. */
import {
  admitPrompt, saltOf, selectReplica, type Milliseconds, type PromptAdmission, type PromptDemand, type Replica, type Selection
} from '@wasabihead/coordination'
import type { CallerRequest } from './callerRequest.js'
import type { GatewayState } from './gatewayState.js'

/** Chooses replicas for one request. */
export class RequestPlacement {
  /** The service among those of the route that takes the request. */
  readonly service: string
  /** Workspaces that are not isolated share cached parts. */
  private readonly _wall: string
  /** A replica at which this request has taken the next place. */
  private _reserved: Replica | undefined

  constructor (private readonly _state: GatewayState, private readonly _request: CallerRequest) {
    this.service = pickService(_request, _state.random.next())
    this._wall = _request.workspace?.isIsolated === true ? _request.workspace.name : ''
  }

  /** The best replica among those that the request was not sent to yet. */
  select (tried: ReadonlySet<string>): Selection | undefined {
    const { fronts, loads, health, cachedParts, storedParts, speeds, zone, random } = this._state
    const now = this._state.now()
    const serving = this._serving
    return selectReplica({
      candidates: this._withPlace(serving),
      tried,
      // A replica without a place can still give others what it holds.
      holders: serving,
      demand: this._demand()
    }, {
      loads,
      health,
      cachedParts,
      stores: storedParts,
      speed: speeds.of(this.service),
      zone,
      instances: fronts.size(now),
      random,
      now
    })
  }

  /** Whether a replica could be selected now that the request was not sent to yet. */
  hasReplicaBeside (tried: ReadonlySet<string>): boolean {
    return this._withPlace(this._serving).some(({ id }) => !tried.has(id))
  }

  /** Whether there are replicas that serve requests, and none of them has a place for one within its limit. */
  get isAtLimit (): boolean {
    const serving = this._serving
    return serving.length > 0 && this._withPlace(serving).length === 0
  }

  /**
   * Where no replica takes a request now: how long until the first one does again. Callers that are told so one after the
   * other are told different times where replicas take requests at a rate.
   */
  get opensIn (): Milliseconds | undefined {
    const { notices, limits, comeBackTimes, fronts } = this._state
    const now = this._state.now()
    const opensAt = this._replicas.map(replica => notices.opensAt(replica))
    const delay = Math.min(...opensAt) - now
    if (delay > 0) return Number.isFinite(delay) ? delay : undefined
    const rates = this._open.map(replica => limits.rateOf(replica))
    if (rates.includes(undefined)) return undefined
    const rate = rates.reduce<number>((sum, stated) => sum + (stated ?? 0), 0)
    return comeBackTimes.next(this.service, rate, fronts.knownSize ?? 1, now)
  }

  /**
   * Takes the next place among the replicas that have none now, if it comes by a time.
   * @returns how long until then; undefined where none comes in time
   */
  reservePlace (tried: ReadonlySet<string>, until: Milliseconds): Milliseconds | undefined {
    const { limits, fronts, beliefNow } = this._state
    const now = this._state.now()
    let first: { replica: Replica, delay: Milliseconds } | undefined
    for (const replica of this._serving) {
      if (tried.has(replica.id)) continue
      const delay = limits.nextSendAt(replica, fronts.knownNames, beliefNow()) - beliefNow()
      if (first === undefined || delay < first.delay) first = { replica, delay }
    }
    if (first === undefined || now + first.delay > until) return undefined
    this._reserved = first.replica
    return limits.reserveSend(first.replica, fronts.knownNames, beliefNow()) - beliefNow()
  }

  /** The oldest weight version that the request may be sent to; undefined where any will do. */
  get requiredVersion (): number | undefined {
    return this._versionNamedFor(this._state.oldWeights.excludeAfter)
  }

  /** Whether a request that was not sent yet goes to the selected replica now. */
  admit ({ crowding }: Selection): PromptAdmission {
    const { route, workspace, receivedAt } = this._request
    const isMostUrgent = (workspace?.priority ?? route.priority) === 0
    return admitPrompt({ crowding, heldFor: this._state.now() - receivedAt, objective: route.objective, isMostUrgent })
  }

  /** The request is being sent: its prompt's parts will be held there, and in the stores that it saves them to. */
  noteSent ({ replica, salt, saves }: Selection): void {
    const { catalog, cachedParts, sentPrompts, storedParts, limits, fronts, now, beliefNow } = this._state
    const { prompt } = this._request.head
    if (this._reserved?.id === replica.id) this._reserved = undefined
    else limits.reserveSend(replica, fronts.knownNames, beliefNow())
    const engine = catalog.routes?.service(this.service)?.engine
    if (prompt === undefined || salt === undefined || engine === undefined) return
    cachedParts.onSent(replica.id, salt, prompt.parts, engine.cacheTokens)
    sentPrompts.add({ replicaId: replica.id, salt, parts: prompt.parts })
    for (const [index, address] of saves?.entries() ?? []) {
      const part = prompt.parts[index]
      if (address !== undefined && part !== undefined) storedParts.onSave(address, salt, part.id, now())
    }
  }

  /** The first byte of the answer came: fetches and the engines are judged by how long it took. */
  noteFirstByte ({ salt, wait, fetchLoads, queuedTokens, freshTokens, crowding }: Selection, sentAt: Milliseconds): void {
    if (salt === undefined) return
    const { storedParts, speeds } = this._state
    const now = this._state.now()
    const excess = now - sentAt - wait
    const hasWaited = queuedTokens > 0 || crowding > 0 || fetchLoads.size > 0
    if (!hasWaited) speeds.of(this.service).onFirstToken(freshTokens, now - sentAt)
    if (fetchLoads.size === 0) storedParts.onRequestWithoutFetch(excess, now)
    else for (const address of fetchLoads.keys()) storedParts.onFetched(address, excess, now)
  }

  /** Those of the replicas that may get the request now. */
  private _withPlace (replicas: readonly Replica[]): readonly Replica[] {
    const { limits, fronts, beliefNow } = this._state
    if (limits.isEmpty) return replicas
    const reserved = replicas.find(({ id }) => id === this._reserved?.id)
    if (reserved !== undefined) return [reserved]
    const now = beliefNow()
    return replicas.filter(replica => limits.nextSendAt(replica, fronts.knownNames, now) <= now)
  }

  /** The replicas that would serve a request if they had a place for it. */
  private get _serving (): readonly Replica[] {
    const { loading } = this._state
    const now = this._state.now()
    const open = this._open
    const idle = open.filter(({ id }) => !loading.has(id, now))
    // A replica that is loading refuses requests until it is done.
    return idle.length > 0 ? idle : open
  }

  /** The replicas that want requests of this instance, now or when a place is free. */
  private get _open (): readonly Replica[] {
    const { notices } = this._state
    const now = this._state.now()
    return this._replicas.filter(replica => !notices.isClosed(replica, now))
  }

  /** The replicas whose weights the request may use. */
  private get _replicas (): readonly Replica[] {
    const replicas = this._state.catalog.usableReplicas(this.service)
    const { prompt } = this._request.head
    const required = this.requiredVersion
    if (prompt === undefined || required === undefined) return replicas
    return replicas.filter(({ weightVersions }) => (weightVersions[prompt.model] ?? 0) >= required)
  }

  private _demand (): PromptDemand | undefined {
    const { catalog, oldWeights } = this._state
    const { prompt } = this._request.head
    const engine = catalog.routes?.service(this.service)?.engine
    if (prompt === undefined || engine === undefined) return undefined
    const wantedVersion = this._versionNamedFor(oldWeights.avoidAfter)
    const saltFor = (weightVersion: number): string => saltOf({ workspace: this._wall, model: prompt.model, weightVersion })
    return { prompt, engine, saltFor, wantedVersion }
  }

  /** The newest weight version that may have been named for a duration. */
  private _versionNamedFor (duration: Milliseconds): number | undefined {
    const { catalog, beliefNow } = this._state
    const { prompt } = this._request.head
    return prompt === undefined ? undefined : catalog.versionPossiblyAnnouncedBy(prompt.model, beliefNow() - duration)
  }
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

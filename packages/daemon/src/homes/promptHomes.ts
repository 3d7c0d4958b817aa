/** Reads hints from the homes of prompts and reports placements to them; each instance is the home of a share of the prompts. */
import {
  homeOf, shortBlockKeys,
  type HomeDirectory, type HomedPrompt, type Member, type MemberTable, type Milliseconds, type ReplicaHint
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import type { HomePeerClient } from './homePeers.js'

/** Maximum wait for a home's hints; after it the request continues without them. */
const ASK_TIMEOUT: Milliseconds = 20
/** Maximum number of concurrent calls to homes; beyond it requests continue without hints and placements are not reported. */
const MAXIMUM_PENDING_CALLS = 64

/** Reaches the homes of prompts. A failure of a home never fails a request. */
export class PromptHomes {
  private _pendingCalls = 0

  /** @param _directory the routing state of the prompts homed on this instance */
  constructor (
    private readonly _members: MemberTable,
    private readonly _directory: HomeDirectory,
    private readonly _peers: Pick<HomePeerClient, 'findReplicas' | 'reportPlacement'>,
    private readonly _clock: Clock,
    private readonly _askTimeout: Milliseconds = ASK_TIMEOUT
  ) {}

  /** The home's hints about a prompt; empty if the home does not answer within the timeout. */
  async findReplicas (prompt: Omit<HomedPrompt, 'dataCentre'>, blockKeys: readonly string[]): Promise<readonly ReplicaHint[]> {
    const home = this._homeOf(prompt)
    if (home === undefined || blockKeys.length === 0) return []
    if (this._isSelf(home)) return this._directory.findReplicas(blockKeys, this._clock.monotonic())
    const answer = this._call(async () => (
      await this._peers.findReplicas(home.peerAddress, shortBlockKeys(blockKeys))).unwrapOr([]))
    if (answer === undefined) return []
    return await withTimeout(answer, this._askTimeout, [])
  }

  /** Reports a placement to the home, without waiting for an answer; a failed report is not repeated. */
  reportPlacement (
    prompt: Omit<HomedPrompt, 'dataCentre'>, replica: string, incarnation: number, blockKeys: readonly string[]
  ): void {
    const home = this._homeOf(prompt)
    if (home === undefined || blockKeys.length === 0) return
    const placement = { replica, incarnation, blockKeys: shortBlockKeys(blockKeys) }
    if (this._isSelf(home)) this._directory.record(placement, this._clock.monotonic())
    else this._call(async () => await this._peers.reportPlacement(home.peerAddress, placement))
  }

  private _homeOf (prompt: Omit<HomedPrompt, 'dataCentre'>): Member | undefined {
    return homeOf(this._members.members, { ...prompt, dataCentre: this._members.self.dataCentre })
  }

  private _isSelf (home: Member): boolean {
    return home.host === this._members.self.host
  }

  private _call<Value> (perform: () => Promise<Value>): Promise<Value> | undefined {
    if (this._pendingCalls >= MAXIMUM_PENDING_CALLS) return undefined
    this._pendingCalls += 1
    return perform().finally(() => { this._pendingCalls -= 1 })
  }
}

/** The value, or the fallback if the value takes longer than the timeout. */
async function withTimeout<Value> (value: Promise<Value>, timeout: Milliseconds, fallback: Value): Promise<Value> {
  let timer: NodeJS.Timeout | undefined
  const timedOut = new Promise<Value>(resolve => { timer = setTimeout(() => { resolve(fallback) }, timeout) })
  return await Promise.race([value, timedOut]).finally(() => { clearTimeout(timer) })
}

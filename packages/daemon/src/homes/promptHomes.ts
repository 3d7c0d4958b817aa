/** Asks the homes of prompts for hints, tells them of placements, and is itself the home of its share of the prompts. */
import {
  homeOf, shortBlockKeys,
  type HomeDirectory, type HomedPrompt, type Member, type MemberTable, type Milliseconds, type ReplicaHint
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import type { HomePeerClient } from './homePeers.js'

/** Longest wait for a home's hint; a request then goes on without. */
const ASK_TIMEOUT: Milliseconds = 20
/** Most calls to homes at one time; past it requests go on without hints, and placements are not told. */
const MAXIMUM_CALLS = 64

/** Reaches the homes of prompts. No request ever fails for its home. */
export class HomeKeeper {
  private _calls = 0

  /** @param _directory the routing state of the prompts homed on this instance */
  constructor (
    private readonly _members: MemberTable,
    private readonly _directory: HomeDirectory,
    private readonly _peers: Pick<HomePeerClient, 'ask' | 'tell'>,
    private readonly _clock: Clock,
    private readonly _askTimeout: Milliseconds = ASK_TIMEOUT
  ) {}

  /** The home's hints about a prompt; none where the home does not answer soon. */
  async ask (prompt: Omit<HomedPrompt, 'dataCentre'>, blockKeys: readonly string[]): Promise<readonly ReplicaHint[]> {
    const home = this._homeOf(prompt)
    if (home === undefined || blockKeys.length === 0) return []
    if (this._isSelf(home)) return this._directory.ask(blockKeys, this._clock.monotonic())
    const answer = this._call(async () => (await this._peers.ask(home.peerAddress, shortBlockKeys(blockKeys))).unwrapOr([]))
    if (answer === undefined) return []
    return await withinTime(answer, this._askTimeout, [])
  }

  /** Tells the home that a prompt was placed; waits for nothing. */
  tell (
    prompt: Omit<HomedPrompt, 'dataCentre'>, replica: string, incarnation: number, blockKeys: readonly string[]
  ): void {
    const home = this._homeOf(prompt)
    if (home === undefined || blockKeys.length === 0) return
    const placement = { replica, incarnation, blockKeys: shortBlockKeys(blockKeys) }
    if (this._isSelf(home)) this._directory.tell(placement, this._clock.monotonic())
    else this._call(async () => await this._peers.tell(home.peerAddress, placement))
  }

  private _homeOf (prompt: Omit<HomedPrompt, 'dataCentre'>): Member | undefined {
    return homeOf(this._members.members, { ...prompt, dataCentre: this._members.self.dataCentre })
  }

  private _isSelf (home: Member): boolean {
    return home.host === this._members.self.host
  }

  private _call<Value> (perform: () => Promise<Value>): Promise<Value> | undefined {
    if (this._calls >= MAXIMUM_CALLS) return undefined
    this._calls += 1
    return perform().finally(() => { this._calls -= 1 })
  }
}

/** The value, or the other one where it takes too long. */
async function withinTime<Value> (value: Promise<Value>, timeout: Milliseconds, otherwise: Value): Promise<Value> {
  let timer: NodeJS.Timeout | undefined
  const timedOut = new Promise<Value>(resolve => { timer = setTimeout(() => { resolve(otherwise) }, timeout) })
  return await Promise.race([value, timedOut]).finally(() => { clearTimeout(timer) })
}

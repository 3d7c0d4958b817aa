/**
 * How soon the engines of a service begin to answer a prompt, learned from the answers of requests that nothing waited
 * before: a delay that each prompt has, and the time that each prompt token adds. Engines differ widely, and replicas are
 * weighed by what a queue of prompt tokens costs.
 */
import type { Milliseconds } from '../common/index.js'

/** Assumed until answers tell: a middle-sized engine of the present generation. */
const PRIOR: readonly (readonly [tokens: number, elapsed: Milliseconds])[] = [[0, 10], [8_000, 210]]
/** What each point of the prior weighs against one answer. */
const PRIOR_WEIGHT = 0.5
/** What an answer weighs against the next one, so that about the last hundred count. */
const FADING = 0.99
/** One answer that is late for another reason counts as at most so many times what was predicted, and the margin. */
const LATEST_SHARE = 2
const LATEST_MARGIN: Milliseconds = 40
const FASTEST: Milliseconds = 1 / 2_000
const SLOWEST: Milliseconds = 1

/** A line through the answers, by least squares with fading weights. */
export class EngineSpeed {
  private _weight = 0
  private _tokens = 0
  private _elapsed = 0
  private _tokensSquared = 0
  private _product = 0

  constructor () {
    for (const [tokens, elapsed] of PRIOR) this._take(tokens, elapsed, PRIOR_WEIGHT)
  }

  /** Milliseconds that an engine needs to read one prompt token. */
  get timeForToken (): Milliseconds {
    const spread = this._weight * this._tokensSquared - this._tokens ** 2
    const slope = (this._weight * this._product - this._tokens * this._elapsed) / spread
    return Math.min(SLOWEST, Math.max(FASTEST, slope))
  }

  /** Milliseconds until the first token of a prompt whose tokens were all read before. */
  get firstDelay (): Milliseconds {
    return Math.max(0, (this._elapsed - this.timeForToken * this._tokens) / this._weight)
  }

  /** Predicted milliseconds until the first token, where nothing waits before the prompt. */
  firstTokenAfter (tokens: number): Milliseconds {
    return this.firstDelay + tokens * this.timeForToken
  }

  /** The first token of a prompt came, before which nothing had waited; `tokens` of it had to be read. */
  onFirstToken (tokens: number, elapsed: Milliseconds): void {
    const latest = LATEST_SHARE * this.firstTokenAfter(tokens) + LATEST_MARGIN
    this._weight *= FADING
    this._tokens *= FADING
    this._elapsed *= FADING
    this._tokensSquared *= FADING
    this._product *= FADING
    this._take(tokens, Math.min(elapsed, latest), 1)
  }

  private _take (tokens: number, elapsed: Milliseconds, weight: number): void {
    this._weight += weight
    this._tokens += weight * tokens
    this._elapsed += weight * elapsed
    this._tokensSquared += weight * tokens ** 2
    this._product += weight * tokens * elapsed
  }
}

/** The speeds by service. */
export class EngineSpeeds {
  private readonly _speeds = new Map<string, EngineSpeed>()

  /** What is known of a service's engines; of one that was never asked, the prior. */
  of (service: string): EngineSpeed {
    const known = this._speeds.get(service) ?? new EngineSpeed()
    this._speeds.set(service, known)
    return known
  }
}

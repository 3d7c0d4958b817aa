/**
 * Estimates the time to the first token for the engines of a service: a fixed delay for each prompt, plus the time to read
 * each prompt token. Only answers to prompts that did not queue are used. Engines differ widely in speed, and replica
 * selection compares the time that their queues of prompt tokens take.
 */
import type { Milliseconds } from '../common/index.js'

/** Points on the line that is assumed before any answer is observed: a mid-sized engine of the current generation. */
const PRIOR: readonly (readonly [tokens: number, elapsed: Milliseconds])[] = [[0, 10], [8_000, 210]]
/** Weight of each prior point relative to one observed answer. */
const PRIOR_WEIGHT = 0.5
/** Each new answer multiplies the weight of earlier ones by this, so that about the last hundred answers count. */
const DECAY_PER_ANSWER = 0.99
/**
 * An observed time is capped at this multiple of the prediction plus the margin, since an answer may be late for reasons other
 * than the engine's speed.
 */
const MAXIMUM_PREDICTION_RATIO = 2
const PREDICTION_MARGIN: Milliseconds = 40
const MINIMUM_TIME_PER_TOKEN: Milliseconds = 1 / 2_000
const MAXIMUM_TIME_PER_TOKEN: Milliseconds = 1

/** Fits time to first token against prompt tokens by least squares, with exponentially decaying weights. */
export class EngineSpeed {
  private _weightSum = 0
  private _tokenSum = 0
  private _elapsedSum = 0
  private _squaredTokenSum = 0
  private _productSum = 0

  constructor () {
    for (const [tokens, elapsed] of PRIOR) this._add(tokens, elapsed, PRIOR_WEIGHT)
  }

  /** Estimated time in milliseconds to read one prompt token. */
  get timePerToken (): Milliseconds {
    const determinant = this._weightSum * this._squaredTokenSum - this._tokenSum ** 2
    const slope = (this._weightSum * this._productSum - this._tokenSum * this._elapsedSum) / determinant
    return Math.min(MAXIMUM_TIME_PER_TOKEN, Math.max(MINIMUM_TIME_PER_TOKEN, slope))
  }

  /** Estimated time in milliseconds to the first token of a prompt whose tokens are all cached. */
  get firstDelay (): Milliseconds {
    return Math.max(0, (this._elapsedSum - this.timePerToken * this._tokenSum) / this._weightSum)
  }

  /** Predicted time in milliseconds to the first token of a prompt that does not queue; `tokens` of it have to be read. */
  timeToFirstToken (tokens: number): Milliseconds {
    return this.firstDelay + tokens * this.timePerToken
  }

  /** Records the time to the first token of a prompt that did not queue; `tokens` of it had to be read. */
  onFirstToken (tokens: number, elapsed: Milliseconds): void {
    const maximumElapsed = MAXIMUM_PREDICTION_RATIO * this.timeToFirstToken(tokens) + PREDICTION_MARGIN
    this._weightSum *= DECAY_PER_ANSWER
    this._tokenSum *= DECAY_PER_ANSWER
    this._elapsedSum *= DECAY_PER_ANSWER
    this._squaredTokenSum *= DECAY_PER_ANSWER
    this._productSum *= DECAY_PER_ANSWER
    this._add(tokens, Math.min(elapsed, maximumElapsed), 1)
  }

  private _add (tokens: number, elapsed: Milliseconds, weight: number): void {
    this._weightSum += weight
    this._tokenSum += weight * tokens
    this._elapsedSum += weight * elapsed
    this._squaredTokenSum += weight * tokens ** 2
    this._productSum += weight * tokens * elapsed
  }
}

/** Speed estimates by service. */
export class EngineSpeeds {
  private readonly _speeds = new Map<string, EngineSpeed>()

  /** Returns the estimate for a service's engines, creating it from the prior if the service is new. */
  of (service: string): EngineSpeed {
    const known = this._speeds.get(service) ?? new EngineSpeed()
    this._speeds.set(service, known)
    return known
  }
}

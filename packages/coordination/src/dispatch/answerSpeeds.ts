/** Judges how fast a replica answers by the answers of its peers and by what callers need. */
import type { Milliseconds } from '../common/index.js'

/** The time until the first byte of one answer. */
export interface AnswerTime {
  elapsed: Milliseconds
  /** Predicted for this request; undefined where nothing is known of its size. */
  expected: Milliseconds | undefined
  /** Latency objective of the route. */
  objective: Milliseconds
}

/** How fast an answer was; `usual` is between the two others. */
export type AnswerSpeed = 'fast' | 'usual' | 'slow'

interface ServiceSpeed {
  answers: number
  /** Decaying mean of the logarithm of the elapsed time, as a multiple of the expected one where that is known. */
  logarithm: number
  duration: Milliseconds | undefined
}

/** Fewer answers of peers do not tell what is usual. */
const FEWEST_ANSWERS = 5
const WEIGHT = 0.1
/** An answer within this multiple of the peers' usual time is as fast as theirs; beyond the other one it is slow. */
const FAST_FACTOR = 1.5
const SLOW_FACTOR = 3
/** Within this share of the objective an answer is fast for its caller, whatever others take. */
const FAST_SHARE = 0.1
/** Without peers, the objective decides: an answer within this share leaves room for more requests. */
const UNCOMPARED_FAST_SHARE = 0.5
/** Predictions below this time are too rough to divide by. */
const SMALLEST_EXPECTED: Milliseconds = 20

/** What is usual for the answers of each service. */
export class AnswerSpeeds {
  private readonly _services = new Map<string, ServiceSpeed>()

  /** Records an answer of a replica that is not limited. */
  onPeerAnswer (service: string, time: AnswerTime): void {
    const speed = this._of(service)
    const logarithm = Math.log(relativeTime(time))
    speed.logarithm = speed.answers === 0 ? logarithm : speed.logarithm + WEIGHT * (logarithm - speed.logarithm)
    speed.answers += 1
  }

  /** Records how long a whole request took. */
  onDuration (service: string, duration: Milliseconds): void {
    const speed = this._of(service)
    speed.duration = speed.duration === undefined ? duration : speed.duration + WEIGHT * (duration - speed.duration)
  }

  /** How long a whole request usually takes; undefined while unknown. */
  typicalDuration (service: string): Milliseconds | undefined {
    const duration = this._services.get(service)?.duration
    return duration === undefined ? undefined : Math.max(1, duration)
  }

  /** Compares an answer with those of the peers; with the objective while too few of these are known. */
  judge (service: string, time: AnswerTime): AnswerSpeed {
    const { elapsed, objective } = time
    if (elapsed <= objective * FAST_SHARE) return 'fast'
    const speed = this._services.get(service)
    if (speed === undefined || speed.answers < FEWEST_ANSWERS) {
      return elapsed <= objective * UNCOMPARED_FAST_SHARE ? 'fast' : elapsed > objective ? 'slow' : 'usual'
    }
    const ratio = relativeTime(time) / Math.exp(speed.logarithm)
    return ratio <= FAST_FACTOR ? 'fast' : ratio > SLOW_FACTOR ? 'slow' : 'usual'
  }

  private _of (service: string): ServiceSpeed {
    const known = this._services.get(service)
    if (known !== undefined) return known
    const speed: ServiceSpeed = { answers: 0, logarithm: 0, duration: undefined }
    this._services.set(service, speed)
    return speed
  }
}

function relativeTime ({ elapsed, expected }: AnswerTime): number {
  return Math.max(1, elapsed) / (expected === undefined ? 1 : Math.max(SMALLEST_EXPECTED, expected))
}

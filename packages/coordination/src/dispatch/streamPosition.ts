/** Decides which answers and events may follow what the caller has of a stream. */

/** The parts of an answer's head that say what its body is. */
export interface BodyKind {
  status: number
  contentType: string | undefined
}

const EVENT_STREAM = 'text/event-stream'
const FIRST_STATUS_AFTER_SUCCESS = 300
/** Answers with these statuses have no body. */
const BODYLESS_STATUSES = new Set([204, 205])
/** Longer numbers have no known order: comparing them would take too long. */
const DECIMAL = /^\d{1,100}$/

/** Whether an answer on a route for streams is not one: a failure, without a body, or of another type than events. */
export function isPlainBody ({ status, contentType }: BodyKind): boolean {
  return !isSuccess(status) || BODYLESS_STATUSES.has(status) ||
    (contentType !== undefined && mediaTypeOf(contentType) !== EVENT_STREAM)
}

/**
 * Why an answer cannot bring the events that follow, for the log; undefined if it may.
 * @param begun the head that the caller has already received; undefined where it asked for the events by itself, so that a
 * failure can be passed on to it, and an answer without a body too
 */
export function continuationFaultOf (answer: BodyKind, begun: BodyKind | undefined): string | undefined {
  const { status, contentType } = answer
  const typeFault = `content type ${contentType ?? 'unknown'} does not continue a stream`
  if (begun === undefined) {
    return isSuccess(status) && !BODYLESS_STATUSES.has(status) && isPlainBody(answer) ? typeFault : undefined
  }
  if (status !== begun.status) return `status ${status} does not continue a stream`
  return mediaTypeOf(contentType) === mediaTypeOf(begun.contentType) ? undefined : typeFault
}

/** Two events that do not follow each other. */
export interface StreamGap {
  /** Undefined for an event without an id. */
  id: string | undefined
  last: string
}

/** The position up to which a caller has a stream. */
export class StreamPosition {
  private _firstId: string | undefined
  private _lastId: string | undefined
  private _isLastNamed = true

  /** @param lastId id of the last event that the caller already has; undefined if it has none */
  constructor (lastId: string | undefined) {
    this._lastId = lastId === '' ? undefined : lastId
    this._firstId = this._lastId
  }

  /** Id of the last event that has one; undefined if there is none. */
  get lastId (): string | undefined {
    return this._lastId
  }

  /** Whether the rest of the stream can be asked for: it is not known what follows an event without an id. */
  get isResumable (): boolean {
    return this._isLastNamed
  }

  /** Moves behind events that the caller receives; undefined stands for an event without an id. */
  advance (ids: readonly (string | undefined)[]): void {
    for (const id of ids) {
      this._firstId ??= id
      this._lastId = id ?? this._lastId
      this._isLastNamed = id !== undefined
    }
  }

  /**
   * Whether events that another replica sends follow this position. Decimal ids have to increase. Other ids have no known
   * order; they must not be the last or the first one again.
   * @param isContinued whether earlier events of the same answer were found to follow; only then may ids be missing
   */
  isFollowedBy (ids: readonly (string | undefined)[], isContinued: boolean): boolean {
    return this.findGap(ids, isContinued) === undefined
  }

  /** The first of the events that does not follow the one before, and the id of that; undefined if all follow. */
  findGap (ids: readonly (string | undefined)[], isContinued: boolean): StreamGap | undefined {
    let [last, mayMiss] = [this._lastId, isContinued]
    if (last === undefined) return undefined
    for (const id of ids) {
      if (id === undefined ? !mayMiss : !this._isAfter(id, last)) return { id, last }
      last = id ?? last
      mayMiss = true
    }
    return undefined
  }

  private _isAfter (id: string, last: string): boolean {
    const [isDecimal, isLastDecimal] = [DECIMAL.test(id), DECIMAL.test(last)]
    if (isDecimal !== isLastDecimal) return false
    return isDecimal ? BigInt(id) > BigInt(last) : id !== last && id !== this._firstId
  }
}

function isSuccess (status: number): boolean {
  return status < FIRST_STATUS_AFTER_SUCCESS
}

function mediaTypeOf (contentType: string | undefined): string | undefined {
  return contentType?.split(';', 1)[0]?.trim().toLowerCase()
}

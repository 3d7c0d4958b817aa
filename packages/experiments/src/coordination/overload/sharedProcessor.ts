/** Model of replicas with continuous batching: full speed up to a width, beyond which all requests slow down equally. */
import type { Milliseconds } from '@wasabihead/coordination'
import type { VirtualTime } from '../../simulation/index.js'

interface Job {
  /** Value of `_completedWork` at which the job finishes. */
  finishesAtWork: number
  onDone: () => void
}

/** Runs jobs by processor sharing. Jobs are sorted by the time at which they finish. */
export class SharedProcessor {
  private readonly _jobs: Job[] = []
  /** Milliseconds at full speed that a job running since the start would have received. */
  private _completedWork = 0
  private _updatedAt: Milliseconds = 0
  private _generation = 0

  /** @param _width maximum number of jobs that run at full speed */
  constructor (private readonly _time: VirtualTime, private readonly _width: number) {}

  /** Starts a job that takes `size` at full speed. Returns a function that cancels it. */
  start (size: Milliseconds, onDone: () => void): () => void {
    this._advance()
    const job = { finishesAtWork: this._completedWork + size, onDone }
    const index = this._jobs.findIndex(other => other.finishesAtWork > job.finishesAtWork)
    this._jobs.splice(index < 0 ? this._jobs.length : index, 0, job)
    this._schedule()
    return () => { this._cancel(job) }
  }

  private get _speed (): number {
    return Math.min(1, this._width / Math.max(1, this._jobs.length))
  }

  private _advance (): void {
    this._completedWork += (this._time.now - this._updatedAt) * this._speed
    this._updatedAt = this._time.now
  }

  private _schedule (): void {
    const generation = ++this._generation
    const [next] = this._jobs
    if (next === undefined) return
    this._time.after((next.finishesAtWork - this._completedWork) / this._speed, () => {
      if (generation === this._generation) this._finishNext()
    })
  }

  private _finishNext (): void {
    this._advance()
    const job = this._jobs.shift()
    this._schedule()
    job?.onDone()
  }

  private _cancel (job: Job): void {
    this._advance()
    const index = this._jobs.indexOf(job)
    if (index >= 0) this._jobs.splice(index, 1)
    this._schedule()
  }
}

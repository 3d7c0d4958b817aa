/** Replicas of which a share hands out wrong bytes in some of their answers, during some windows of time. */
import { sleep } from './network.mjs'
import { RawReplica } from './rawReplica.mjs'
import { HAS_TROUBLE } from './fleet.mjs'

const PAUSE_MILLISECONDS = 2_000

export class GarbledReplicas {
  /**
   * @param settings number of replicas, of which the first `faulty` spoil each `every`th of their answers for `duration`
   * milliseconds in each of `windows` windows, with `pause` milliseconds between them. The answers of a window are counted anew,
   * so that at no time more than one in `every` is spoiled. `whole` returns the answer's bytes, `spoil` changes them
   */
  constructor (fleet, { service, count, faulty, every, windows = 3, duration, pause = PAUSE_MILLISECONDS, whole, spoil }) {
    this.fleet = fleet
    this.duration = duration
    this.windows = windows
    this.pause = pause
    /** Answers of the faulty replicas in the present window. */
    this.answers = 0
    this.isFaulty = false
    this.isOver = false
    this.spoiled = 0
    this.all = Array.from({ length: count }, (_, index) => {
      const replica = new RawReplica(fleet, `replica-${index + 1}`, { service, zone: `zone-${index % 3}` }, request => {
        const bytes = whole(replica, request)
        if (!this.isFaulty || index >= faulty) return bytes
        this.answers += 1
        if (this.answers % every !== 0) return bytes
        this.spoiled += 1
        fleet.record(`replica ${replica.id} spoils its answer to ${request.attempt}`)
        return spoil(bytes)
      })
      return replica
    })
  }

  async start () {
    for (const replica of this.all) await replica.start()
  }

  /** Plays the windows one after another. */
  async play () {
    await sleep(PAUSE_MILLISECONDS)
    for (let window = 0; window < this.windows; window++) {
      this.answers = 0
      const before = this.spoiled
      this.isFaulty = HAS_TROUBLE
      await sleep(this.duration)
      this.isFaulty = false
      this.fleet.record(`window ${window + 1}: ${this.spoiled - before} of ${this.answers} answers of the faulty replicas were spoiled`)
      await sleep(this.pause)
    }
    this.isOver = true
  }
}

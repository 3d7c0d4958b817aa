/** Replicas of which a share hands out wrong bytes in some of their answers, during some windows of time. */
import { sleep } from './network.mjs'
import { RawReplica } from './rawReplica.mjs'
import { HAS_TROUBLE } from './fleet.mjs'

const PAUSE_MILLISECONDS = 2_000

export class GarbledReplicas {
  /**
   * @param settings number of replicas, of which the first `faulty` spoil each `every`th of their answers for `duration`
   * milliseconds in each of `windows` windows; `whole` returns the answer's bytes, and `spoil` changes them
   */
  constructor (fleet, { service, count, faulty, every, windows = 3, duration, whole, spoil }) {
    this.fleet = fleet
    this.duration = duration
    this.windows = windows
    this.isFaulty = false
    this.isOver = false
    this.spoiled = 0
    this.all = Array.from({ length: count }, (_, index) => {
      let answers = 0
      const replica = new RawReplica(fleet, `replica-${index + 1}`, { service, zone: `zone-${index % 3}` }, request => {
        const bytes = whole(replica, request)
        if (!this.isFaulty || index >= faulty) return bytes
        answers += 1
        if (answers % every !== Math.ceil(every / 4)) return bytes
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
      this.isFaulty = HAS_TROUBLE
      await sleep(this.duration)
      this.isFaulty = false
      await sleep(PAUSE_MILLISECONDS)
    }
    this.isOver = true
    this.fleet.record(`${this.spoiled} of ${this.all.reduce((sum, { ran }) => sum + ran.length, 0)} answers were spoiled`)
  }
}

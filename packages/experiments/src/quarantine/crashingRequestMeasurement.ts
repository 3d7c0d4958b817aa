/** Measures how many replicas one crashing request takes down at the target size. */
import { CoordinationMeasurement, type MeasurementRow } from '../coordination/measurement.js'
import { CrashReplay, ReplayedHost, type CrashReplayOptions } from './crashReplay.js'

const SEEDS = 5
const TARGET: CrashReplayOptions = {
  hosts: 340, replicas: 32, length: 10_000, harmlessRate: 50, isServiceDown: false, lossShare: 0.05, kills: 0, hasQuarantine: true
}
const VARIANTS = [
  { variant: 'service up', change: {} },
  { variant: 'service down', change: { isServiceDown: true } },
  { variant: 'no quarantine', change: { isGuarded: false } }
]

/** Reports lost replicas, messages and service calls over several seeds, with and without the service and the quarantine. */
export class CrashingRequestMeasurement extends CoordinationMeasurement {
  override readonly name = 'crashing-request'
  override readonly description =
    'Replicas lost, of 32 of one model, in 10 s to one request that each of 340 hosts receives every second, and messages per host'

  override run (seed: number): MeasurementRow[] {
    return VARIANTS.map(({ variant, change }) => {
      const replays = Array.from({ length: SEEDS }, (_, index) => this._replay(seed + index, { ...TARGET, ...change }))
      const lost = replays.map(({ replicasLost }) => replicasLost)
      return {
        variant,
        leastLost: Math.min(...lost),
        mostLost: Math.max(...lost),
        mostMessagesPerHost: Math.max(...replays.map(({ messages }) => Math.round(messages / TARGET.hosts))),
        mostServiceCalls: Math.max(...replays.map(({ keyValue: { counts } }) => counts.reads + counts.writes))
      }
    })
  }

  private _replay (seed: number, options: CrashReplayOptions): CrashReplay {
    const replay = new CrashReplay(seed, options, (name, world) => new ReplayedHost(name, world))
    replay.run()
    return replay
  }
}

/** Reading load and cache events of every replica, as each instance does now. */
import { HttpModelEngine } from '@wasabihead/daemon'
import { startProgram } from '../processes/index.js'
import { CapacityRole, type CapacitySample } from './capacityRole.js'

const STANDIN = 'packages/standins/dist/main.js'
const ROUNDS = 400
const WARM_UP_ROUNDS = 100
/** Two refreshes a second, each with one read of the load and one of the events. */
const CALLS_PER_REPLICA_SECOND = 4
const BYTES_OF_ONE_CALL = 500
const MICROSECONDS_PER_SECOND = 1_000_000

/** Measures the caller's side of the reads against an engine stand-in in a process of its own. */
export class ReplicaPollRole extends CapacityRole {
  override readonly name = 'replica polls'
  override readonly mechanism = 'every instance reads every replica; watchers for each replica are not built yet'
  override readonly unit = 'replicas'
  override readonly sizes = [4, 8, 16] as const
  override readonly targetSize = 760

  override async measure (size: number): Promise<CapacitySample> {
    const program = startProgram(STANDIN, ['model-engine'])
    try {
      const engine = new HttpModelEngine(await program.listening())
      await readOften(engine, WARM_UP_ROUNDS)
      const before = process.cpuUsage()
      await readOften(engine, ROUNDS)
      const { user, system } = process.cpuUsage(before)
      const secondsPerCall = (user + system) / MICROSECONDS_PER_SECOND / (2 * ROUNDS)
      const callsPerSecond = size * CALLS_PER_REPLICA_SECOND
      return {
        size,
        coreShare: secondsPerCall * callsPerSecond,
        stateBytes: 0,
        networkBytesPerSecond: callsPerSecond * BYTES_OF_ONE_CALL,
        keyValueCallsPerSecond: 0
      }
    } finally {
      await program.kill()
    }
  }
}

async function readOften (engine: HttpModelEngine, rounds: number): Promise<void> {
  for (let round = 0; round < rounds; round++) {
    await engine.readLoad()
    await engine.readCacheEvents(0)
  }
}

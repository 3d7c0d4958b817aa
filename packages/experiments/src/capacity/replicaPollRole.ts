/** Cost of polling load and cache events of all replicas in turn, as each instance does. */
import { HttpModelEngine } from '@wasabihead/daemon'
import { startProgram } from '../processes/index.js'
import { CapacityRole, type CapacitySample } from './capacityRole.js'

const STANDIN_PROGRAM = 'packages/standins/dist/main.js'
const ROUNDS = 400
const WARM_UP_ROUNDS = 100
/** Two rounds a second; a round reads the load and the events of at most four replicas, with one call each. */
const CALLS_PER_REPLICA_SECOND = 4
const MAXIMUM_CALLS_PER_SECOND = 16
const BYTES_PER_CALL = 500
const MICROSECONDS_PER_SECOND = 1_000_000

/** Measures the caller's side of the reads against an engine stand-in in a separate process. */
export class ReplicaPollRole extends CapacityRole {
  override readonly name = 'replica polls'
  override readonly mechanism = 'every instance reads all replicas in turn, at a bounded rate'
  override readonly unit = 'replicas'
  override readonly sizes = [4, 64, 380] as const
  override readonly targetSize = 760

  override async measure (size: number): Promise<CapacitySample> {
    const program = startProgram(STANDIN_PROGRAM, ['model-engine'])
    try {
      const engine = new HttpModelEngine(await program.waitForAddress())
      await readRepeatedly(engine, WARM_UP_ROUNDS)
      const before = process.cpuUsage()
      await readRepeatedly(engine, ROUNDS)
      const { user, system } = process.cpuUsage(before)
      const secondsPerCall = (user + system) / MICROSECONDS_PER_SECOND / (2 * ROUNDS)
      const callsPerSecond = Math.min(size * CALLS_PER_REPLICA_SECOND, MAXIMUM_CALLS_PER_SECOND)
      return {
        size,
        coreShare: secondsPerCall * callsPerSecond,
        stateBytes: 0,
        networkBytesPerSecond: callsPerSecond * BYTES_PER_CALL,
        keyValueCallsPerSecond: 0
      }
    } finally {
      await program.kill()
    }
  }
}

async function readRepeatedly (engine: HttpModelEngine, rounds: number): Promise<void> {
  for (let round = 0; round < rounds; round++) {
    await engine.readLoad()
    await engine.readCacheEvents(0)
  }
}

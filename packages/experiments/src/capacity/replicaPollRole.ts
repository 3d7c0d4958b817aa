/** Reading load and cache events of all replicas in turn, as each instance does. */
import { HttpModelEngine } from '@wasabihead/daemon'
import { startProgram } from '../processes/index.js'
import { CapacityRole, type CapacitySample } from './capacityRole.js'

const STANDIN = 'packages/standins/dist/main.js'
const ROUNDS = 400
const WARM_UP_ROUNDS = 100
/** Two turns a second, each with one read of the load and one of the events for at most four replicas. */
const CALLS_PER_REPLICA_SECOND = 4
const MAXIMUM_CALLS_PER_SECOND = 16
const BYTES_OF_ONE_CALL = 500
const MICROSECONDS_PER_SECOND = 1_000_000

/** Measures the caller's side of the reads against an engine stand-in in a process of its own. */
export class ReplicaPollRole extends CapacityRole {
  override readonly name = 'replica polls'
  override readonly mechanism = 'every instance reads all replicas in turn, at a bounded rate'
  override readonly unit = 'replicas'
  override readonly sizes = [4, 64, 380] as const
  override readonly targetSize = 760

  override async measure (size: number): Promise<CapacitySample> {
    const program = startProgram(STANDIN, ['model-engine'])
    try {
      const engine = new HttpModelEngine(await program.waitForAddress())
      await readOften(engine, WARM_UP_ROUNDS)
      const before = process.cpuUsage()
      await readOften(engine, ROUNDS)
      const { user, system } = process.cpuUsage(before)
      const secondsPerCall = (user + system) / MICROSECONDS_PER_SECOND / (2 * ROUNDS)
      const callsPerSecond = Math.min(size * CALLS_PER_REPLICA_SECOND, MAXIMUM_CALLS_PER_SECOND)
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

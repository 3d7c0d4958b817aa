/** Cost of membership and of the propagation of configuration revisions between instances. */
import type { Milliseconds } from '@wasabihead/coordination'
import { ReplayedFleet } from '../simulation/index.js'
import { CapacityRole, type CapacitySample } from './capacityRole.js'
import { measureProcessorTime } from '../process/index.js'

const SEED = 1
const SETTLING_TIME: Milliseconds = 60_000
const OBSERVATION_TIME: Milliseconds = 30_000
const MILLISECONDS_PER_SECOND = 1_000
/** Processor time of one side of a small call, as given by the role "peer calls". */
const CORE_SECONDS_PER_CALL_SIDE = 0.000_75

/** Replays a settled fleet without faults in virtual time; a fixed processor time is added for each message. */
export class MembershipRole extends CapacityRole {
  override readonly name = 'membership'
  override readonly mechanism = 'one probe a period, news in deltas on the probes, a page of the table compared now and then'
  override readonly unit = 'instances'
  override readonly sizes = [30, 60, 120] as const
  override readonly targetSize = 340

  override measure (size: number): CapacitySample {
    const fleet = new ReplayedFleet({ instances: size, seed: SEED, isSettled: true })
    fleet.time.runUntil(SETTLING_TIME)
    const bytesBefore = totalOf(fleet, 'bytes')
    const messagesBefore = totalOf(fleet, 'messages')
    const time = measureProcessorTime(() => { fleet.time.runUntil(SETTLING_TIME + OBSERVATION_TIME) })
    const seconds = OBSERVATION_TIME / MILLISECONDS_PER_SECOND
    const messagesPerSecond = (totalOf(fleet, 'messages') - messagesBefore) / size / seconds
    return {
      size,
      coreShare: time / size / OBSERVATION_TIME + messagesPerSecond * CORE_SECONDS_PER_CALL_SIDE,
      stateBytes: bytesOfTable(fleet),
      networkBytesPerSecond: (totalOf(fleet, 'bytes') - bytesBefore) / size / seconds,
      keyValueCallsPerSecond: 0
    }
  }
}

function totalOf (fleet: ReplayedFleet, figure: 'bytes' | 'messages'): number {
  return fleet.running.reduce((sum, instance) => sum + instance.process[figure], 0)
}

/** Size of one instance's table as JSON, which is of the same order as its size in memory. */
function bytesOfTable (fleet: ReplayedFleet): number {
  const [instance] = fleet.running
  return instance === undefined ? 0 : JSON.stringify(instance.table.members).length
}

/** Membership and the spread of configuration revisions between instances. */
import type { Milliseconds } from '@wasabihead/coordination'
import { ReplayedFleet } from '../simulation/index.js'
import { CapacityRole, type CapacitySample } from './capacityRole.js'
import { measureProcessorTime } from '../process/index.js'

const SEED = 1
const SETTLING: Milliseconds = 60_000
const OBSERVED: Milliseconds = 30_000
const MILLISECONDS_PER_SECOND = 1_000
/** One side of one small call, from the role "peer calls". */
const CALL_SIDE_SECONDS = 0.000_75

/** Measures a settled fleet without faults, decisions in virtual time and calls at their measured price. */
export class MembershipRole extends CapacityRole {
  override readonly name = 'membership'
  override readonly mechanism = 'one probe a period, news in deltas on the probes, a page of the table compared now and then'
  override readonly unit = 'instances'
  override readonly sizes = [30, 60, 120] as const
  override readonly targetSize = 340

  override measure (size: number): CapacitySample {
    const fleet = new ReplayedFleet({ instances: size, seed: SEED, isSettled: true })
    fleet.time.runUntil(SETTLING)
    const bytesBefore = totalOf(fleet, 'bytes')
    const messagesBefore = totalOf(fleet, 'messages')
    const time = measureProcessorTime(() => { fleet.time.runUntil(SETTLING + OBSERVED) })
    const seconds = OBSERVED / MILLISECONDS_PER_SECOND
    const messagesPerSecond = (totalOf(fleet, 'messages') - messagesBefore) / size / seconds
    return {
      size,
      coreShare: time / size / OBSERVED + messagesPerSecond * CALL_SIDE_SECONDS,
      stateBytes: bytesOfTable(fleet),
      networkBytesPerSecond: (totalOf(fleet, 'bytes') - bytesBefore) / size / seconds,
      keyValueCallsPerSecond: 0
    }
  }
}

function totalOf (fleet: ReplayedFleet, figure: 'bytes' | 'messages'): number {
  return fleet.running.reduce((sum, instance) => sum + instance.process[figure], 0)
}

/** The entries of one instance's table as text, which is of the order of what they keep in memory. */
function bytesOfTable (fleet: ReplayedFleet): number {
  const [instance] = fleet.running
  return instance === undefined ? 0 : JSON.stringify(instance.table.members).length
}

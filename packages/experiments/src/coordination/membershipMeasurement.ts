/** Detection time, false suspicions and deaths, and cost of the membership decisions. */
import type { Milliseconds } from '@wasabihead/coordination'
import { ReplayedFleet } from '../simulation/index.js'
import { CoordinationMeasurement, type MeasurementRow } from './measurement.js'

const FLEET_SIZES = [5, 50, 340]
const LOSS_SHARES = [0, 0.3]
const SETTLING_TIME: Milliseconds = 100_000
const OBSERVATION_TIME: Milliseconds = 60_000
const DETECTION_LIMIT: Milliseconds = 60_000
const SAMPLING_INTERVAL: Milliseconds = 100
const MILLISECONDS_PER_SECOND = 1_000
const MICROSECONDS_PER_MILLISECOND = 1_000

/** Measures membership at several fleet sizes, with and without message loss. */
export class MembershipMeasurement extends CoordinationMeasurement {
  override readonly name = 'membership'
  override readonly description = 'detection of a killed instance, false beliefs and cost for each instance'

  override run (seed: number): MeasurementRow[] {
    return FLEET_SIZES.flatMap(size => LOSS_SHARES.map(loss => measure(size, loss, seed)))
  }
}

function measure (size: number, lossShare: number, seed: number): MeasurementRow {
  const fleet = new ReplayedFleet({ instances: size, seed, isSettled: true })
  fleet.network.lossShare = lossShare
  fleet.time.runUntil(SETTLING_TIME)
  const bytesBefore = totalOf(fleet, 'bytes')
  const messagesBefore = totalOf(fleet, 'messages')
  const usageBefore = process.cpuUsage()
  const falseStates = measureFalseStates(fleet)
  const used = process.cpuUsage(usageBefore)
  const nodeSeconds = size * OBSERVATION_TIME / MILLISECONDS_PER_SECOND
  const bytes = (totalOf(fleet, 'bytes') - bytesBefore) / nodeSeconds
  const messages = (totalOf(fleet, 'messages') - messagesBefore) / nodeSeconds
  return {
    instances: size,
    lossShare,
    bytesPerSecond: Math.round(bytes),
    messagesPerSecond: round(messages),
    coreShare: `${round((used.user + used.system) / MICROSECONDS_PER_MILLISECOND / nodeSeconds / 10)}%`,
    suspectShare: `${round(100 * falseStates.suspect)}%`,
    falseDeathShare: `${round(100 * falseStates.dead)}%`,
    ...measureDetection(fleet)
  }
}

/** Mean shares of all (observer, member) pairs whose observer records the member as suspect or dead although it runs. */
function measureFalseStates (fleet: ReplayedFleet): { suspect: number, dead: number } {
  const count = { suspect: 0, dead: 0 }
  let samples = 0
  for (let elapsed = 0; elapsed < OBSERVATION_TIME; elapsed += MILLISECONDS_PER_SECOND) {
    fleet.time.runUntil(fleet.time.now + MILLISECONDS_PER_SECOND)
    for (const instance of fleet.running) {
      for (const { state } of instance.table.members) {
        samples += 1
        if (state === 'suspect' || state === 'dead') count[state] += 1
      }
    }
  }
  return { suspect: count.suspect / samples, dead: count.dead / samples }
}

/** Kills one instance; returns the times until the first and the last of the others record it as dead. */
function measureDetection (fleet: ReplayedFleet): MeasurementRow {
  const victim = fleet.running.at(-1)
  if (victim === undefined) return {}
  const { host } = victim.self
  victim.kill()
  const killedAt = fleet.time.now
  const seenAt: Milliseconds[] = []
  const unaware = new Set(fleet.running)
  while (unaware.size > 0 && fleet.time.now - killedAt < DETECTION_LIMIT) {
    fleet.time.runUntil(fleet.time.now + SAMPLING_INTERVAL)
    for (const instance of unaware) {
      if (instance.table.find(host)?.state !== 'dead') continue
      seenAt.push(fleet.time.now - killedAt)
      unaware.delete(instance)
    }
  }
  return {
    firstSeenDeadSeconds: round((seenAt[0] ?? Infinity) / MILLISECONDS_PER_SECOND),
    allSeenDeadSeconds: unaware.size > 0 ? 'not all in 60' : round((seenAt.at(-1) ?? Infinity) / MILLISECONDS_PER_SECOND)
  }
}

function totalOf (fleet: ReplayedFleet, figure: 'bytes' | 'messages'): number {
  return fleet.running.reduce((sum, instance) => sum + instance.process[figure], 0)
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}

/** Faults of a load run, written as `name@start:duration` with times in seconds, such as `freeze-instance@3:4`. */
import { Result } from 'true-myth'
import { ActionableError, type Milliseconds } from '@wasabihead/coordination'
import type { Fleet, RunningInstance } from '../processes/index.js'

/** Names of the faults that a run can inject. */
export const FAULT_NAMES = [
  'kill-instance', 'freeze-instance', 'stop-instance', 'silence-peers', 'freeze-engine', 'silence-engine', 'cut-engine',
  'key-value-down', 'key-value-slow', 'key-value-lost-answers', 'key-value-silent', 'store-down', 'service-cut'
] as const
/** Name of a fault. */
export type FaultName = typeof FAULT_NAMES[number]

/** A fault with its start, counted from the start of the run, and its duration. */
export interface PlannedFault {
  name: FaultName
  at: Milliseconds
  duration: Milliseconds
}

/** A fault on the command line has an unknown name or a wrong format. */
export class InvalidFaultError extends ActionableError {
  readonly kind = 'invalid-fault'
}

/** Parses a fault from the command line. A fault without a duration lasts 2 seconds. */
export function parseFault (text: string): Result<PlannedFault, InvalidFaultError> {
  const match = /^([a-z-]+)@(\d+(?:\.\d+)?)(?::(\d+(?:\.\d+)?))?$/.exec(text)
  const name = FAULT_NAMES.find(candidate => candidate === match?.[1])
  if (match === null || name === undefined) {
    return Result.err(new InvalidFaultError(
      `"${text}" is not a valid fault`, `Use name@start:duration with times in seconds; the names are ${FAULT_NAMES.join(', ')}`))
  }
  return Result.ok({ name, at: Number(match[2]) * 1_000, duration: Number(match[3] ?? 2) * 1_000 })
}

/**
 * Injects a fault into a fleet with relays. Resolves when the fault is over; `silence-peers` and `silence-engine` resolve at
 * once, as they stall the open connections for good.
 */
export async function injectFault (fleet: Fleet, fault: PlannedFault): Promise<void> {
  const end = new Promise<void>(resolve => { setTimeout(resolve, fault.duration) })
  const instance = fleet.instances.at(-1) as RunningInstance
  switch (fault.name) {
    case 'kill-instance': return await replaceInstance(fleet, instance, end)
    case 'stop-instance': return await stopInstance(fleet, instance, end)
    case 'freeze-instance': return await freeze(instance.program, end)
    case 'silence-peers': {
      fleet.relay(`peer-${instance.host}`).stallOpenConnections()
      return
    }
    case 'freeze-engine': return await freeze((fleet.engines[0] as typeof fleet.engines[0]).program, end)
    case 'silence-engine': {
      fleet.relay('engine-0').stallOpenConnections()
      return
    }
    case 'cut-engine': return await cut(fleet, 'engine-0', end)
    case 'service-cut': return await cut(fleet, 'service', end)
    case 'store-down': return await whileFaulty(fleet, 'store', { isDown: true }, end)
    case 'key-value-down': return await whileFaulty(fleet, 'keyValue', { isDown: true }, end)
    case 'key-value-silent': return await whileFaulty(fleet, 'keyValue', { isSilent: true }, end)
    case 'key-value-slow': return await whileFaulty(fleet, 'keyValue', { delayMilliseconds: 700 }, end)
    case 'key-value-lost-answers': return await whileFaulty(fleet, 'keyValue', { droppedAnswers: 20 }, end)
  }
}

async function replaceInstance (fleet: Fleet, instance: RunningInstance, end: Promise<void>): Promise<void> {
  await fleet.killInstance(instance)
  await end
  await fleet.startInstance(instance.host)
}

async function stopInstance (fleet: Fleet, instance: RunningInstance, end: Promise<void>): Promise<void> {
  instance.program.signal('SIGTERM')
  await instance.program.exited
  await fleet.killInstance(instance)
  await end
  await fleet.startInstance(instance.host)
}

async function freeze (program: RunningInstance['program'], end: Promise<void>): Promise<void> {
  program.signal('SIGSTOP')
  await end
  program.signal('SIGCONT')
}

async function cut (fleet: Fleet, name: string, end: Promise<void>): Promise<void> {
  fleet.relay(name).cut()
  await end
  fleet.relay(name).restore()
}

async function whileFaulty (
  fleet: Fleet, standIn: 'keyValue' | 'store', faults: Parameters<Fleet['setFaults']>[1], end: Promise<void>
): Promise<void> {
  await fleet.setFaults(fleet[standIn], faults)
  await end
  await fleet.setFaults(fleet[standIn], {})
}

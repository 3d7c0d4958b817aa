/** The holder of the orders role: one instance reads back and orders all backend servers. */
import {
  ORDERS_TICK_INTERVAL, OrdersHolder, type DesiredState, type EngineState, type OrdersEffect
} from '@wasabihead/coordination'
import { CapacityRole, type CapacitySample } from './capacityRole.js'
import { measureKeptBytes, measureProcessorTime } from '../process/index.js'

const RUN_MILLISECONDS = 120_000
const BYTES_OF_ONE_READ = 600
const MODELS = 24

/** Measures the holder in a steady state, each server read back in its turn. */
export class OrdersRole extends CapacityRole {
  override readonly name = 'orders'
  override readonly mechanism = 'one holder by lease for the environment; absolute states, read back in turn'
  override readonly unit = 'backend servers'
  override readonly sizes = [95, 190, 380] as const
  override readonly targetSize = 760

  override measure (size: number): CapacitySample {
    const { state: holder, bytes } = measureKeptBytes(() => createHolder(size))
    let reads = 0
    const time = measureProcessorTime(() => { reads = runSteadily(holder) })
    const seconds = RUN_MILLISECONDS / 1_000
    return {
      size,
      coreShare: time / RUN_MILLISECONDS,
      stateBytes: bytes,
      networkBytesPerSecond: reads / seconds * BYTES_OF_ONE_READ,
      keyValueCallsPerSecond: 0
    }
  }
}

function createHolder (size: number): OrdersHolder {
  const holder = new OrdersHolder()
  holder.handle({ kind: 'configured', desired: Array.from({ length: size }, (_, index) => desiredState(index)) }, 0)
  return holder
}

function runSteadily (holder: OrdersHolder): number {
  let reads = 0
  const answer = (effects: readonly OrdersEffect[], now: number): void => {
    for (const effect of effects) {
      reads += 1
      answer(holder.handle({ kind: 'state-read', server: effect.server, state: stateOf(effect.server) }, now), now)
    }
  }
  answer(holder.handle({ kind: 'role-acquired', epoch: 1, heldUntil: Infinity }, 0), 0)
  for (let now = 0; now < RUN_MILLISECONDS; now += ORDERS_TICK_INTERVAL) answer(holder.handle({ kind: 'tick' }, now), now)
  return reads
}

function desiredState (index: number): DesiredState {
  return {
    server: `engine-${index}`, model: `model-${index % MODELS}`, weightVersion: 'v1', adapters: [], role: 'serve', checksFencing: true
  }
}

function stateOf (server: string): EngineState {
  const model = `model-${Number(server.slice('engine-'.length)) % MODELS}`
  return { incarnation: 1, fencingNumber: 1, model, weightVersion: 'v1', adapters: [], role: 'serve', loading: false }
}

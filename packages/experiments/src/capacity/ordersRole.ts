/** Cost of the orders role: its holder, one instance, sends orders to all backend servers and reads their states back. */
import {
  ORDERS_TICK_INTERVAL, OrdersHolder, type DesiredState, type EngineState, type OrdersEffect
} from '@wasabihead/coordination'
import { CapacityRole, type CapacitySample } from './capacityRole.js'
import { measureKeptBytes, measureProcessorTime } from '../process/index.js'

const OBSERVATION_MILLISECONDS = 120_000
const BYTES_PER_READ = 600
const MODELS = 24

/** Measures the holder in a steady state, in which it only reads the servers back in turn. */
export class OrdersRole extends CapacityRole {
  override readonly name = 'orders'
  override readonly mechanism = 'one holder by lease for the environment; absolute states, read back in turn'
  override readonly unit = 'backend servers'
  override readonly sizes = [95, 190, 380] as const
  override readonly targetSize = 760

  override measure (size: number): CapacitySample {
    const { state: holder, bytes } = measureKeptBytes(() => createHolder(size))
    let reads = 0
    const time = measureProcessorTime(() => { reads = countReads(holder) })
    const seconds = OBSERVATION_MILLISECONDS / 1_000
    return {
      size,
      coreShare: time / OBSERVATION_MILLISECONDS,
      stateBytes: bytes,
      networkBytesPerSecond: reads / seconds * BYTES_PER_READ,
      keyValueCallsPerSecond: 0
    }
  }
}

function createHolder (size: number): OrdersHolder {
  const holder = new OrdersHolder()
  holder.handle({ kind: 'configured', desired: Array.from({ length: size }, (_, index) => desiredState(index)) }, 0)
  return holder
}

/** Answers each effect as a read that returns the desired state; returns the number of reads. */
function countReads (holder: OrdersHolder): number {
  let reads = 0
  const answer = (effects: readonly OrdersEffect[], now: number): void => {
    for (const effect of effects) {
      reads += 1
      answer(holder.handle({ kind: 'state-read', server: effect.server, state: stateOf(effect.server) }, now), now)
    }
  }
  answer(holder.handle({ kind: 'role-acquired', epoch: 1, heldUntil: Infinity }, 0), 0)
  for (let now = 0; now < OBSERVATION_MILLISECONDS; now += ORDERS_TICK_INTERVAL) answer(holder.handle({ kind: 'tick' }, now), now)
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

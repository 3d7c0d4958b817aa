/** Messages and effects of the orders slice. */
import type { Milliseconds } from '../common/index.js'
import type { EngineOrder, EngineState } from '../platform/index.js'

/** What a backend server should run, as an absolute state, so that repeating an order is harmless. */
export interface DesiredState {
  server: string
  model: string
  weightVersion: string
  adapters: readonly string[]
  role: string
  /** Whether the server refuses an order with an old fencing number. */
  checksFencing: boolean
}

/** What the holder is told. */
export type OrdersMessage =
  /** The servers of the configuration in force; replaces the former list. */
  | { kind: 'configured', desired: readonly DesiredState[] }
  /** This instance now holds the role, for the epoch and until the given time on the local monotonic clock. */
  | { kind: 'role-acquired', epoch: number, heldUntil: Milliseconds }
  | { kind: 'role-renewed', heldUntil: Milliseconds }
  | { kind: 'role-lost' }
  /** Time has passed; send one every `ORDERS_TICK_INTERVAL`. */
  | { kind: 'tick' }
  | { kind: 'state-read', server: string, state: EngineState }
  | { kind: 'state-unreadable', server: string }
  /** The server took the order, or took another state in its place. */
  | { kind: 'order-answered', server: string, state: EngineState }
  /** The server refused the order, so that it had no effect. */
  | { kind: 'order-refused', server: string }
  /** The order may or may not have taken effect. */
  | { kind: 'order-ambiguous', server: string }

/** What the holder asks its driver to do. */
export type OrdersEffect =
  | { kind: 'read-state', server: string }
  | { kind: 'order', server: string, order: EngineOrder }

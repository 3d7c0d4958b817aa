/** Messages to `OrdersHolder`, and the effects that it returns. */
import type { Milliseconds } from '../common/index.js'
import type { EngineOrder, EngineState } from '../platform/index.js'

/** What a backend server should run. The state is absolute, so repeating an order is idempotent. */
export interface DesiredState {
  server: string
  model: string
  weightVersion: string
  adapters: readonly string[]
  role: string
  /** Whether the server rejects an order with an outdated fencing number. */
  checksFencing: boolean
}

/** A message to `OrdersHolder`. */
export type OrdersMessage =
  /** The desired states of the configuration in force; they replace all earlier ones. */
  | { kind: 'configured', desired: readonly DesiredState[] }
  /** This instance now holds the role, for the epoch and until the given time on the local monotonic clock. */
  | { kind: 'role-acquired', epoch: number, heldUntil: Milliseconds }
  | { kind: 'role-renewed', heldUntil: Milliseconds }
  | { kind: 'role-lost' }
  /** Sent every `ORDERS_TICK_INTERVAL`. */
  | { kind: 'tick' }
  | { kind: 'state-read', server: string, state: EngineState }
  | { kind: 'state-unreadable', server: string }
  /** The server answered an order with its state, which may differ from the ordered one. */
  | { kind: 'order-answered', server: string, state: EngineState }
  /** The server rejected the order, so it had no effect. */
  | { kind: 'order-refused', server: string }
  /** The order may or may not have taken effect. */
  | { kind: 'order-ambiguous', server: string }

/** What the daemon has to do. */
export type OrdersEffect =
  | { kind: 'read-state', server: string }
  | { kind: 'order', server: string, order: EngineOrder }

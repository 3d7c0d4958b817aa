/** Sends orders to backend servers while this instance holds the role for it. */
import type { Result } from 'true-myth'
import {
  desiredStatesOf, ORDERS_TICK_INTERVAL, OrdersHolder, PlatformRefusedError,
  type ConfigurationDocument, type EngineState, type ModelEngine, type OrdersEffect, type OrdersMessage,
  type OrdersProgress, type PlatformError
} from '@wasabihead/coordination'
import type { BackendFleet } from '../backends/index.js'
import type { Clock } from '../instance/clock.js'
import type { RoleLoop } from '../leases/index.js'
import type { Logger } from '../telemetry/index.js'

/** Sends backend servers the orders that bring them to the states desired by the configuration. */
export class OrdersLoop {
  private readonly _holder = new OrdersHolder()
  private _timer: NodeJS.Timeout | undefined

  constructor (
    private readonly _role: RoleLoop,
    private readonly _fleet: Pick<BackendFleet, 'findEngine'>,
    private readonly _clock: Clock,
    private readonly _logger: Logger
  ) {}

  /** Progress of each server; empty unless this instance holds the role. */
  get progress (): OrdersProgress[] {
    return this._holder.epoch === undefined ? [] : this._holder.progress
  }

  /** Sets the desired states of the servers from a new configuration. */
  configure (document: ConfigurationDocument): void {
    this._handle({ kind: 'configured', desired: desiredStatesOf(document) })
  }

  /** Starts to acquire the role and, while it is held, to send orders. */
  start (): void {
    this._timer = setInterval(() => { this._tick() }, ORDERS_TICK_INTERVAL)
  }

  /** Stops the timer; calls in flight are not cancelled. */
  stop (): void {
    clearInterval(this._timer)
  }

  private _tick (): void {
    this._role.tick()
    const { epoch, heldUntil } = this._role
    if (epoch === undefined) this._handle({ kind: 'role-lost' })
    else if (epoch === this._holder.epoch) this._handle({ kind: 'role-renewed', heldUntil })
    else this._handle({ kind: 'role-acquired', epoch, heldUntil })
    this._handle({ kind: 'tick' })
  }

  private _handle (message: OrdersMessage): void {
    for (const effect of this._holder.handle(message, this._clock.monotonic())) {
      this._perform(effect).then(
        answer => { this._handle(answer) },
        () => { this._handle(toFailureMessage(effect)) })
    }
  }

  private async _perform (effect: OrdersEffect): Promise<OrdersMessage> {
    const engine = this._fleet.findEngine(effect.server)?.engine
    if (engine === undefined) return toFailureMessage(effect)
    return effect.kind === 'order'
      ? await this._sendOrder(effect, engine)
      : toStateMessage(effect.server, await engine.readState())
  }

  private async _sendOrder (effect: Extract<OrdersEffect, { kind: 'order' }>, engine: ModelEngine): Promise<OrdersMessage> {
    const { server, order } = effect
    this._logger.info('ordering', { server, weightVersion: order.weightVersion, fencingNumber: order.fencingNumber })
    const answer = await engine.order(order)
    if (answer.isOk) return { kind: 'order-answered', server, state: answer.value }
    return answer.error instanceof PlatformRefusedError ? { kind: 'order-refused', server } : { kind: 'order-ambiguous', server }
  }
}

function toStateMessage (server: string, state: Result<EngineState, PlatformError>): OrdersMessage {
  return state.isOk ? { kind: 'state-read', server, state: state.value } : { kind: 'state-unreadable', server }
}

function toFailureMessage (effect: OrdersEffect): OrdersMessage {
  return effect.kind === 'order'
    ? { kind: 'order-ambiguous', server: effect.server }
    : { kind: 'state-unreadable', server: effect.server }
}

/** Measures the share of its machine that this process uses: of the processor cores and of the link. */
import diagnosticsChannel from 'node:diagnostics_channel'
import type net from 'node:net'
import type { MachineSize, Milliseconds } from '@wasabihead/coordination'

const MICROSECONDS_PER_MILLISECOND = 1_000
/** A megabit a second carries this many bytes in a millisecond. */
const BYTES_PER_MEGABIT_MILLISECOND = 125
/** Shorter intervals would show single requests. */
const INTERVAL: Milliseconds = 1_000
/** Weight of the latest interval in the average, so that a burst of a second does not change what others decide. */
const SMOOTHING = 0.3

interface Sample {
  at: Milliseconds
  processorTime: Milliseconds
  received: number
  sent: number
}

/** Usage since the first call of `sample`; nothing is measured before. */
export class MachineUsage {
  private readonly _sockets = new Set<net.Socket>()
  private _endedReceived = 0
  private _endedSent = 0
  private _last: Sample | undefined
  private _utilization = 0

  constructor (private readonly _machine: MachineSize) {}

  /** The share that the scarcest resource is used at, as a moving average. Call it often. */
  sample (now: Milliseconds): number {
    const last = this._last
    if (last !== undefined && now - last.at < INTERVAL) return this._utilization
    const next = this._read(now)
    if (last === undefined) this._observeSockets()
    else this._utilization += SMOOTHING * (this._shareOf(last, next) - this._utilization)
    this._last = next
    return this._utilization
  }

  private _shareOf (last: Sample, next: Sample): number {
    const { cores, linkMegabitsPerSecond } = this._machine
    const elapsed = next.at - last.at
    const ofCores = cores === undefined ? 0 : (next.processorTime - last.processorTime) / elapsed / cores
    const bytes = Math.max(next.received - last.received, next.sent - last.sent)
    const megabitsPerSecond = bytes / elapsed / BYTES_PER_MEGABIT_MILLISECOND
    const ofLink = linkMegabitsPerSecond === undefined ? 0 : megabitsPerSecond / linkMegabitsPerSecond
    return Math.max(0, ofCores, ofLink)
  }

  private _read (now: Milliseconds): Sample {
    const { user, system } = process.cpuUsage()
    let [received, sent] = [this._endedReceived, this._endedSent]
    for (const { bytesRead, bytesWritten } of this._sockets) {
      received += bytesRead
      sent += bytesWritten
    }
    return { at: now, processorTime: (user + system) / MICROSECONDS_PER_MILLISECOND, received, sent }
  }

  /** Connections of callers and to replicas are opened in several modules, and at peers, stores and endpoints. */
  private _observeSockets (): void {
    const observe = (message: unknown): void => {
      const { socket } = message as { socket: net.Socket }
      this._sockets.add(socket)
      socket.once('close', () => {
        this._sockets.delete(socket)
        this._endedReceived += socket.bytesRead
        this._endedSent += socket.bytesWritten
      })
    }
    diagnosticsChannel.subscribe('net.server.socket', observe)
    diagnosticsChannel.subscribe('net.client.socket', observe)
  }
}

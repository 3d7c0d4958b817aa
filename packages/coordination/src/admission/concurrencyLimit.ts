/** Bounds the requests that run at once, in all and for each workspace. */

/** Counts running requests against limits. */
export class ConcurrencyLimit {
  private _running = 0
  private readonly _runningByWorkspace = new Map<string, number>()

  /** @param _maximumRunning most requests that run at once on this instance */
  constructor (private readonly _maximumRunning: number) {}

  /** Requests running now. */
  get running (): number {
    return this._running
  }

  /** Admits a request, or not; each admission is paired with a `release`. */
  tryAcquire (workspace: string, workspaceMaximum: number): boolean {
    const own = this._runningByWorkspace.get(workspace) ?? 0
    if (this._running >= this._maximumRunning || own >= workspaceMaximum) return false
    this._running += 1
    this._runningByWorkspace.set(workspace, own + 1)
    return true
  }

  /** Ends an admission. */
  release (workspace: string): void {
    const own = this._runningByWorkspace.get(workspace) ?? 0
    this._running = Math.max(0, this._running - 1)
    if (own <= 1) this._runningByWorkspace.delete(workspace)
    else this._runningByWorkspace.set(workspace, own - 1)
  }
}

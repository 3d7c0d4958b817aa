/** The retry budgets of one instance, one for each workspace and kind, in bounded memory. */
import type { Milliseconds } from '../common/index.js'
import { RetryBudget, type RetryBudgetSettings } from './retryBudget.js'

/** Settings of the budgets of one instance. */
export interface RetryBudgetsSettings extends RetryBudgetSettings {
  /** Most budgets kept; past them the least recently used is forgotten. */
  maximumBudgets: number
  /** A budget unused for so long is forgotten, and begins anew when it is needed again. */
  idleTime: Milliseconds
}

interface KeptBudget {
  budget: RetryBudget
  usedAt: Milliseconds
}

/** Finds budgets. The map's order is the order of use, oldest first. */
export class RetryBudgets {
  private readonly _kept = new Map<string, KeptBudget>()

  /** @param _settings shares and bounds */
  constructor (private readonly _settings: RetryBudgetsSettings) {}

  /** Count of budgets kept now. */
  get size (): number {
    return this._kept.size
  }

  /** Counts a first try and gives the budget that its retries spend from. */
  onFirstTry (workspace: string, requestKind: string, now: Milliseconds): RetryBudget {
    const key = JSON.stringify([workspace, requestKind])
    const budget = this._kept.get(key)?.budget ?? new RetryBudget(this._settings)
    this._kept.delete(key)
    this._kept.set(key, { budget, usedAt: now })
    budget.onFirstTry()
    this._forget(now)
    return budget
  }

  private _forget (now: Milliseconds): void {
    for (const [key, { usedAt }] of this._kept) {
      const isKept = this._kept.size <= this._settings.maximumBudgets && now - usedAt < this._settings.idleTime
      if (isKept) return
      this._kept.delete(key)
    }
  }
}

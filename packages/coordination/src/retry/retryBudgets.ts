/** The retry budgets of one instance, one for each workspace and request kind, in bounded memory. */
import type { Milliseconds } from '../common/index.js'
import { RetryBudget, type RetryBudgetSettings } from './retryBudget.js'

/** Settings of the budgets of one instance. */
export interface RetryBudgetsSettings extends RetryBudgetSettings {
  /** Maximum number of budgets; past it the least recently used is evicted. */
  maximumBudgets: number
  /** A budget that is unused for this time is evicted; its next use starts with a new budget. */
  idleTime: Milliseconds
}

interface BudgetEntry {
  budget: RetryBudget
  usedAt: Milliseconds
}

/** Creates, finds and evicts budgets. */
export class RetryBudgets {
  /** In the order of last use, oldest first. */
  private readonly _budgets = new Map<string, BudgetEntry>()

  /** @param _settings share of retries and bounds */
  constructor (private readonly _settings: RetryBudgetsSettings) {}

  /** Number of retained budgets. */
  get size (): number {
    return this._budgets.size
  }

  /** Records a first attempt and returns the budget that its retries must spend from. */
  onFirstAttempt (workspace: string, requestKind: string, now: Milliseconds): RetryBudget {
    const key = JSON.stringify([workspace, requestKind])
    const budget = this._budgets.get(key)?.budget ?? new RetryBudget(this._settings)
    this._budgets.delete(key)
    this._budgets.set(key, { budget, usedAt: now })
    budget.onFirstAttempt()
    this._evict(now)
    return budget
  }

  private _evict (now: Milliseconds): void {
    for (const [key, { usedAt }] of this._budgets) {
      const isRetained = this._budgets.size <= this._settings.maximumBudgets && now - usedAt < this._settings.idleTime
      if (isRetained) return
      this._budgets.delete(key)
    }
  }
}

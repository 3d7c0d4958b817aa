/** Errors of the settings. */
import { ActionableError } from '@wasabihead/coordination'

/** One setting that is missing or wrong. */
export interface SettingFault {
  /** What was given and why it does not do; never a secret's value. */
  problem: string
  remedy: string
}

/** Settings are missing or wrong; the program does not start. All faults are told at once. */
export class InvalidSettingError extends ActionableError {
  readonly kind = 'invalid-setting'

  constructor (readonly faults: readonly SettingFault[]) {
    super(
      faults.map(fault => `${fault.problem}. ${fault.remedy}`).join('\n'),
      'Run "wasabihead-daemon --help" for all settings'
    )
    this.message = `${this.problem}\n${this.remedy}`
  }
}

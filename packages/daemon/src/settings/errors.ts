/** Errors about settings. */
import { ActionableError } from '@wasabihead/coordination'

/** A setting that is missing or invalid. */
export interface SettingFault {
  /** The given value and why it is invalid; never contains the value of a secret. */
  problem: string
  remedy: string
}

/** Settings are missing or invalid, so the program does not start. The message lists all faults. */
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

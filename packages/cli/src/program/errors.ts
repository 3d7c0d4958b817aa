/** Errors with which a command fails. */
import { ActionableError } from '@wasabihead/coordination'
import { ExitCode } from './exitCodes.js'

/** Makes the tool print the message to standard error and end with the exit code. */
export abstract class CommandError extends ActionableError {
  abstract readonly exitCode: ExitCode
  /** Further fields of the output with `--json`. */
  readonly details: object = {}
}

/** The command line is invalid. */
export class BadUsageError extends CommandError {
  override readonly kind = 'bad-usage'
  override readonly exitCode = ExitCode.BadUsage
}

/** The command line is valid, but the command failed. */
export class CommandFailedError extends CommandError {
  override readonly exitCode = ExitCode.Failed

  constructor (readonly kind: string, problem: string, remedy: string, override readonly details: object = {}) {
    super(problem, remedy)
  }
}

/** Another change was accepted since the revision that this one was made from. */
export class ChangeConflictError extends CommandError {
  override readonly kind = 'configuration-conflict'
  override readonly exitCode = ExitCode.Conflict

  /** @param details the revision in force, and both changes as line differences from their common base */
  constructor (problem: string, remedy: string, override readonly details: { theirs: string, yours: string, revision: number }) {
    super(problem, remedy)
  }
}

/** A change is accepted, but not yet in force on every instance. */
export class InstancesLagError extends CommandError {
  override readonly kind = 'instances-lag'
  override readonly exitCode = ExitCode.NotInForceEverywhere

  constructor (revision: number, override readonly details: { lagging: string[] }) {
    super(`Revision ${revision} is accepted but not yet in force on ${details.lagging.join(', ')}`,
      'Wait and look at "wasabihead status", or replace the hosts named if they are gone')
  }
}

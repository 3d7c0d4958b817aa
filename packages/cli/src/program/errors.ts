/** Errors that end a command. */
import { ActionableError } from '@wasabihead/coordination'
import { ExitCode } from './exitCodes.js'

/** Ends a command with its exit code; the message goes to standard error. */
export abstract class CommandError extends ActionableError {
  abstract readonly exitCode: ExitCode
  /** More for programs, under `--json`. */
  readonly details: object = {}
}

/** The command line is wrong. */
export class BadUsageError extends CommandError {
  override readonly kind = 'bad-usage'
  override readonly exitCode = ExitCode.BadUsage
}

/** The command was understood and could not be done. */
export class CommandFailedError extends CommandError {
  override readonly exitCode = ExitCode.Failed

  constructor (readonly kind: string, problem: string, remedy: string, override readonly details: object = {}) {
    super(problem, remedy)
  }
}

/** Another operator's change was accepted first. */
export class ChangeConflictError extends CommandError {
  override readonly kind = 'configuration-conflict'
  override readonly exitCode = ExitCode.Conflict

  /** @param details revisions and both changes as differences from their common base */
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

/** Exit codes of the tool; docs/operators.md lists them. */
export enum ExitCode {
  Done = 0,
  Failed = 1,
  BadUsage = 2,
  Conflict = 3,
  NotInForceEverywhere = 4
}

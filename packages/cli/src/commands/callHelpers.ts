/** Helpers for the calls of commands. */
import type { Result } from 'true-myth'

/** Returns the value of a result. @throws its error, which ends the command */
export function valueOrThrow<Value, Problem extends Error> (result: Result<Value, Problem>): Value {
  if (result.isOk) return result.value
  throw result.error
}

/** Formats the fields that are set as a query string with its "?"; empty if none is set. */
export function toQueryString (fields: Readonly<Record<string, string | undefined>>): string {
  const set = Object.entries(fields).filter((field): field is [string, string] => field[1] !== undefined)
  return set.length === 0 ? '' : `?${new URLSearchParams(set).toString()}`
}

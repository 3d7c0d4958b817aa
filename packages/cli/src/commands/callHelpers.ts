/** Small helpers of the commands. */
import type { Result } from 'true-myth'

/** The value, or the error thrown to end the command. */
export function valueOf<Value, Problem extends Error> (result: Result<Value, Problem>): Value {
  if (result.isOk) return result.value
  throw result.error
}

/** A query string of the fields that are set; empty where none is. */
export function queryOf (fields: Readonly<Record<string, string | undefined>>): string {
  const set = Object.entries(fields).filter((field): field is [string, string] => field[1] !== undefined)
  return set.length === 0 ? '' : `?${new URLSearchParams(set).toString()}`
}

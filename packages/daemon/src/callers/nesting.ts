/** Limit on the nesting of callers' JSON, so that no later recursive step overflows the stack. */

/** Maximum depth of arrays and objects in a body. */
export const MAXIMUM_NESTING = 64

/** Whether no array or object is nested deeper than the maximum. Goes level by level, without recursion. */
export function isNestedWithin (value: unknown, maximumDepth: number): boolean {
  let level = [value]
  for (let depth = 0; level.length > 0; depth++) {
    const containers = level.filter((item): item is object => typeof item === 'object' && item !== null)
    if (containers.length > 0 && depth >= maximumDepth) return false
    level = containers.flatMap(container => Object.values(container) as unknown[])
  }
  return true
}

/** How deep callers' JSON may nest, so that no later step runs out of stack on it. */

/** Deepest nesting of arrays and objects in a body. */
export const MAXIMUM_NESTING = 64

/** Whether no array or object lies deeper than the bound. The walk itself needs no stack. */
export function isNestedWithin (value: unknown, maximumDepth: number): boolean {
  let level = [value]
  for (let depth = 0; level.length > 0; depth++) {
    const containers = level.filter((item): item is object => typeof item === 'object' && item !== null)
    if (containers.length > 0 && depth >= maximumDepth) return false
    level = containers.flatMap(container => Object.values(container) as unknown[])
  }
  return true
}

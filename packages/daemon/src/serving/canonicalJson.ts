/** One text for each JSON value, whatever the order of its fields. */

/** The text of a JSON document with the fields of each object in the order of their names. */
export function canonicalJson (text: string): string {
  return JSON.stringify(JSON.parse(text), (_, value: unknown) => isObject(value) ? withSortedFields(value) : value)
}

function isObject (value: unknown): value is object {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function withSortedFields (value: object): object {
  return Object.fromEntries(Object.entries(value).sort(([one], [other]) => one < other ? -1 : 1))
}

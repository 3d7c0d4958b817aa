/** Canonical JSON: equal values have equal texts, whatever the order of their fields. */

/** Serializes a JSON document again, with the fields of each object sorted by name. Throws if `text` is not JSON. */
export function canonicalJson (text: string): string {
  return JSON.stringify(JSON.parse(text), (_, value: unknown) => isObject(value) ? withSortedFields(value) : value)
}

function isObject (value: unknown): value is object {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function withSortedFields (value: object): object {
  return Object.fromEntries(Object.entries(value).sort(([one], [other]) => one < other ? -1 : 1))
}

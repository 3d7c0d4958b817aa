/** Rendezvous (highest random weight) hashing: each key ranks all names, and the loss of a name moves only its own keys. */
import { placementHash } from './hashing.js'

/** The names in the key's order of preference. The order depends only on the key and the names, so all hosts agree. */
export function rankByRendezvous (key: string, names: readonly string[]): string[] {
  const weighted = names.map(name => ({ name, weight: placementHash(`${key}|${name}`) }))
  weighted.sort(byWeightThenName)
  return weighted.map(entry => entry.name)
}

/** The key's first choice, or undefined if there are no names. */
export function firstByRendezvous (key: string, names: readonly string[]): string | undefined {
  let best: WeightedName | undefined
  for (const name of names) {
    const candidate = { name, weight: placementHash(`${key}|${name}`) }
    if (best === undefined || byWeightThenName(candidate, best) < 0) best = candidate
  }
  return best?.name
}

interface WeightedName {
  name: string
  weight: number
}

function byWeightThenName (left: WeightedName, right: WeightedName): number {
  if (left.weight !== right.weight) return right.weight - left.weight
  return left.name < right.name ? -1 : 1
}

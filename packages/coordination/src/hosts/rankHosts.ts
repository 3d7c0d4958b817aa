/** Which hosts a caller should use, in order. */
import { MILLISECONDS_PER_SECOND, rankByRendezvous, type Milliseconds } from '../common/index.js'
import type { Member } from '../membership/index.js'

/** How long a caller may cache the answer. Meanwhile, a leaving host rejects its requests and returns the other hosts. */
const ANSWER_LIFETIME: Milliseconds = 10_000

/** A caller's description of its requests. */
export interface HostsQuestion {
  /** Affinity key: the same for requests that share a long prompt, so that they reach the same host. */
  affinity: string
  /** The model that the requests are for; empty if unknown. */
  model: string
  /** The data centre nearest to the caller. */
  dataCentre: string
}

/** The hosts to use. */
export interface HostsAnswer {
  /** URLs of the hosts, best first. */
  hosts: string[]
  /** How long the caller may cache the answer, in seconds. */
  keepSeconds: number
}

/**
 * Ranks the hosts by rendezvous hashing: those of the nearest data centre, then the others, and suspect hosts last.
 * Leaving and dead hosts, and those whose address is not known yet, are absent.
 */
export function rankHosts (members: readonly Member[], question: HostsQuestion): HostsAnswer {
  const key = `${question.model}\n${question.affinity}`
  const reachable = members.filter(member => member.callerAddress !== '')
  const alive = reachable.filter(member => member.state === 'alive')
  const suspect = reachable.filter(member => member.state === 'suspect')
  return {
    hosts: [...rankNearestFirst(key, alive, question.dataCentre), ...rankNearestFirst(key, suspect, question.dataCentre)],
    keepSeconds: ANSWER_LIFETIME / MILLISECONDS_PER_SECOND
  }
}

function rankNearestFirst (key: string, members: readonly Member[], dataCentre: string): string[] {
  const near = members.filter(member => member.dataCentre === dataCentre)
  const far = members.filter(member => member.dataCentre !== dataCentre)
  return [...rank(key, near), ...rank(key, far)]
}

/** Ranks by host name, so that a host keeps its prompts when its address changes. */
function rank (key: string, members: readonly Member[]): string[] {
  const addresses = new Map(members.map(member => [member.host, member.callerAddress]))
  return rankByRendezvous(key, [...addresses.keys()]).map(host => addresses.get(host) as string)
}

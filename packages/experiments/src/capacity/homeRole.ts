/** The home of returning prompts: its directory, and finding the home of each prompt that arrives. */
import { HomeDirectory, homeOf, shortBlockKeys, type Member } from '@wasabihead/coordination'
import { CapacityRole, type CapacitySample } from './capacityRole.js'
import { measureKeptBytes, measureProcessorTime } from '../process/index.js'

const TARGET_HOSTS = 340
const TARGET_PROMPTS = 220_000
const TARGET_REQUESTS_PER_SECOND = 3_600
const DATA_CENTRES = 7
const BLOCKS_OF_ONE_PROMPT = 20
const REPLICAS = 760
const REQUESTS = 2_000
const MILLISECONDS_PER_SECOND = 1_000
/** One question and one placement told, each with the keys of a prompt's blocks. */
const BYTES_OF_ONE_REQUEST = 2 * (BLOCKS_OF_ONE_PROMPT * 18 + 200)

/** Measures one home of the target's fleet, with every request arriving at another host than its home. */
export class HomeRole extends CapacityRole {
  override readonly name = 'homes'
  override readonly mechanism = 'one home for each prompt by rendezvous; placements bounded, hints asked for'
  override readonly unit = 'prompts homed on the node'
  override readonly sizes = [160, 320, 640, 1_280] as const
  override readonly targetSize = Math.ceil(TARGET_PROMPTS / TARGET_HOSTS)

  override measure (size: number): CapacitySample {
    const members = Array.from({ length: TARGET_HOSTS }, (_, index) => memberOf(index))
    const { state: directory, bytes } = measureKeptBytes(() => fill(size))
    serve(directory, members, size)
    const time = measureProcessorTime(() => { serve(directory, members, size) })
    const requestsPerSecond = TARGET_REQUESTS_PER_SECOND / TARGET_HOSTS
    return {
      size,
      coreShare: time / REQUESTS * requestsPerSecond / MILLISECONDS_PER_SECOND,
      stateBytes: bytes,
      networkBytesPerSecond: requestsPerSecond * BYTES_OF_ONE_REQUEST,
      keyValueCallsPerSecond: 0
    }
  }
}

function fill (size: number): HomeDirectory {
  const directory = new HomeDirectory()
  for (let prompt = 0; prompt < size; prompt++) directory.record(placementOf(prompt), prompt)
  return directory
}

/** Finds the home twice, once to ask and once to tell, as a request does; the home's own part is done here too. */
function serve (directory: HomeDirectory, members: readonly Member[], size: number): void {
  for (let request = 0; request < REQUESTS; request++) {
    const placement = placementOf(request % size)
    const prompt = { affinity: placement.blockKeys[0] as string, model: 'm', dataCentre: 'dc-0' }
    homeOf(members, prompt)
    directory.findReplicas(placement.blockKeys, request)
    homeOf(members, prompt)
    directory.record(placement, request)
  }
}

function placementOf (prompt: number) {
  const blockKeys = Array.from({ length: BLOCKS_OF_ONE_PROMPT }, (_, block) => `${prompt}:${block}:`.padEnd(32, '0'))
  return { replica: `engine-${prompt % REPLICAS}`, incarnation: 1, blockKeys: shortBlockKeys(blockKeys) }
}

function memberOf (index: number): Member {
  const host = `entry-${index}`
  return {
    host,
    incarnation: 1,
    version: 1,
    dataCentre: `dc-${index % DATA_CENTRES}`,
    peerAddress: `http://${host}:8082`,
    callerAddress: `http://${host}:8080`,
    state: 'alive',
    configurationRevision: 1
  }
}

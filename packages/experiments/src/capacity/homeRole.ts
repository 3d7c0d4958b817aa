/** Cost of prompt homes: the directory of a home, and the selection of the home for each request. */
import { HomeDirectory, homeOf, shortBlockKeys, type Member } from '@wasabihead/coordination'
import { CapacityRole, type CapacitySample } from './capacityRole.js'
import { measureKeptBytes, measureProcessorTime } from '../process/index.js'

const TARGET_HOSTS = 340
const TARGET_PROMPTS = 220_000
const TARGET_REQUESTS_PER_SECOND = 3_600
const DATA_CENTRES = 7
const BLOCKS_PER_PROMPT = 20
const REPLICAS = 760
const REQUEST_COUNT = 2_000
const MILLISECONDS_PER_SECOND = 1_000
/** One lookup and one placement report, each with the keys of the prompt's blocks. */
const BYTES_PER_REQUEST = 2 * (BLOCKS_PER_PROMPT * 18 + 200)

/** Measures one home in a fleet of the target's size, where every request arrives at a host other than its home. */
export class HomeRole extends CapacityRole {
  override readonly name = 'homes'
  override readonly mechanism = 'one home for each prompt by rendezvous; placements bounded, hints asked for'
  override readonly unit = 'prompts homed on the node'
  override readonly sizes = [160, 320, 640, 1_280] as const
  override readonly targetSize = Math.ceil(TARGET_PROMPTS / TARGET_HOSTS)

  override measure (size: number): CapacitySample {
    const members = Array.from({ length: TARGET_HOSTS }, (_, index) => memberOf(index))
    const { state: directory, bytes } = measureKeptBytes(() => createDirectory(size))
    handleRequests(directory, members, size)
    const time = measureProcessorTime(() => { handleRequests(directory, members, size) })
    const requestsPerSecond = TARGET_REQUESTS_PER_SECOND / TARGET_HOSTS
    return {
      size,
      coreShare: time / REQUEST_COUNT * requestsPerSecond / MILLISECONDS_PER_SECOND,
      stateBytes: bytes,
      networkBytesPerSecond: requestsPerSecond * BYTES_PER_REQUEST,
      keyValueCallsPerSecond: 0
    }
  }
}

function createDirectory (size: number): HomeDirectory {
  const directory = new HomeDirectory()
  for (let prompt = 0; prompt < size; prompt++) directory.record(placementOf(prompt), prompt)
  return directory
}

/** Selects the home twice for each request, for the lookup and for the report, and performs both on the directory. */
function handleRequests (directory: HomeDirectory, members: readonly Member[], size: number): void {
  for (let request = 0; request < REQUEST_COUNT; request++) {
    const placement = placementOf(request % size)
    const prompt = { affinity: placement.blockKeys[0] as string, model: 'm', dataCentre: 'dc-0' }
    homeOf(members, prompt)
    directory.findReplicas(placement.blockKeys, request)
    homeOf(members, prompt)
    directory.record(placement, request)
  }
}

function placementOf (prompt: number) {
  const blockKeys = Array.from({ length: BLOCKS_PER_PROMPT }, (_, block) => `${prompt}:${block}:`.padEnd(32, '0'))
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

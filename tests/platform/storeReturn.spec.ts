/** A metadata store that comes back from an older copy, with several gateway processes and stand-in replicas. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '@wasabihead/experiments'
import { configurationOf, PlatformFleet, type GatewayProcess, type ReplicaStandIn } from './platformFleet.js'

const MODEL = 'model-a'
const ROLE_KEY = 'wasabihead/rollout'
const ENGINE = { slots: 4, kv_capacity_tokens: 10_000, kv_token_bytes: 1_000, link_mbps: 1_000, models: [{ name: MODEL }] }
const AWAY_MS = 300
const WRITES_AFTER_RETURN = 300

interface Order {
  version: number
  holder: string
  fencing_token: number
}

const test = suite('a store that comes back from an older copy')
let fleet: PlatformFleet

test.before.each(() => { fleet = new PlatformFleet() })
test.after.each(async () => { await fleet.stop() })

/** The gateway that holds the rollout role, other than `former`. */
async function untilHeld (former?: GatewayProcess): Promise<GatewayProcess> {
  let holder: GatewayProcess | undefined
  await waitUntil(async () => {
    const record = fleet.store.get(ROLE_KEY) as { holder: { host: string }, isReleased: boolean } | undefined
    holder = fleet.gateways.find(({ name }) => name === record?.holder.host)
    return record?.isReleased === false && holder !== former
  })
  return holder as GatewayProcess
}

/** Accepts orders and reports the version of the last one, until a new order names another. */
function carryOutOrders (replica: ReplicaStandIn, orders: Order[]): void {
  let version = 1
  let count = 0
  replica.respond = (request, response) => {
    if (request.url === '/v1/order') {
      const order = JSON.parse(request.body) as Order
      orders.push(order)
      version = order.version
      count += 1
      response.writeHead(202).end()
      return
    }
    response.writeHead(200, { 'Content-Type': 'application/json' })
    response.end(JSON.stringify({ seq: count, busy: false, models: [{ name: MODEL, version }] }))
  }
}

// Guards against fencing tokens that go back: the store had lost the records of the last holders of the rollout role.
test('should order with a higher token than all lost holders after the store came back from an older copy', async () => {
  const orders: Order[] = []
  await fleet.start(3)
  fleet.store.put('op/config', configurationOf(1, { services: [{ name: 'desk', max_conns: 20, engine: ENGINE }] }))
  const replica = await fleet.addReplica('replica-1', 'desk')
  carryOutOrders(replica, orders)
  fleet.register(replica, 'desk', { models: [{ name: MODEL, version: 1 }] })
  const announce = async (version: number): Promise<void> => {
    fleet.store.put(`op/version/${MODEL}`, { model: MODEL, version })
    await waitUntil(async () => orders.some(order => order.version === version))
  }
  const first = await untilHeld()
  await announce(2)
  const copy = fleet.store.copy()
  first.signal('SIGKILL')
  const second = await untilHeld(first)
  await announce(3)
  second.signal('SIGKILL')
  await fleet.store.restore(copy, AWAY_MS)
  // Replicas write their registrations again and again, so that the revision soon passes the one before the return.
  for (let count = 0; count < WRITES_AFTER_RETURN; count++) fleet.register(replica, 'desk', { models: [{ name: MODEL, version: 3 }], seq: count })
  await announce(4)
  const terms = new Map(orders.map(order => [order.holder, order.fencing_token]))
  const tokens = [...terms.values()]
  assert.is(terms.size, 3)
  assert.equal(tokens, [...new Set(tokens)].sort((left, right) => left - right))
})

test.run()

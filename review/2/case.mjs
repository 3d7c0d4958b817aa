/** ONE: once the store is back from an older copy, the holder of the rollout role orders with a lower token than the last one. */
import { HAS_TROUBLE, runCase } from '../lib/fleet.mjs'
import { sleep } from '../lib/network.mjs'
import { configuration, Replica } from '../lib/replica.mjs'

const MODEL = 'model-a'
const ROLE_KEY = 'wasabihead/rollout'
const LEASE_MILLISECONDS = 3_000
const AWAY_MILLISECONDS = 1_000
const RESTART_GAP_MILLISECONDS = 1_300
const ENGINE = { slots: 48, kv_capacity_tokens: 47_292, kv_token_bytes: 327_680, link_mbps: 550_000, models: [{ name: MODEL }] }

/** Pairs of orders to one replica that the rule forbids. */
function violations (replicas) {
  const broken = []
  for (const { id, ordered } of replicas) {
    for (const [index, order] of ordered.entries()) {
      for (const before of ordered.slice(0, index)) {
        const gap = order.at - before.at
        const what = `${id} got token ${order.fencing_token} of ${order.holder} ${Math.round(gap)} ms after token ${before.fencing_token} of ${before.holder}`
        if (order.fencing_token < before.fencing_token) broken.push(`a lower token: ${what}`)
        if (order.holder === before.holder) continue
        if (order.fencing_token === before.fencing_token) broken.push(`two holders with one token: ${what}`)
        if (gap < LEASE_MILLISECONDS) broken.push(`turns within lease_ms: ${what}`)
      }
    }
  }
  return broken
}

await runCase(import.meta.url, async fleet => {
  const { store } = fleet
  const config = configuration(1)
  config.services[0].engine = ENGINE
  const replicas = Array.from({ length: 6 }, (_, index) => (
    new Replica(fleet, `replica-${index + 1}`, { service: 'desk', models: [{ name: MODEL, version: 1, adapters: [] }] })))
  for (const replica of replicas) await replica.start()
  let version = 0
  const nameVersion = () => {
    version += 1
    store.put(`op/version/${MODEL}`, { model: MODEL, version })
    fleet.record(`the operator names version ${version}`)
  }
  store.put('op/config', config)
  nameVersion()
  store.onGatewayWrite = (key, value) => {
    if (key === ROLE_KEY && (value.renewal === 0 || value.isReleased)) fleet.record(`the role's key is written: ${JSON.stringify(value)}`)
  }
  /** The gateway that holds the role, once there is one other than `former`. */
  const untilHeld = async former => {
    for (;;) {
      const record = store.value(ROLE_KEY)
      if (record?.isReleased === false && record.holder.host !== former?.name) {
        return fleet.gateways.find(({ name }) => name === record.holder.host)
      }
      await sleep(20)
    }
  }
  await fleet.startGateways(3)
  await sleep(2_000)
  nameVersion()
  await sleep(4_000)

  // Planned work: the gateways are restarted in turn, first the one that leads.
  const restart = async gateway => {
    fleet.record(`SIGTERM to ${gateway.name}`)
    gateway.child.kill('SIGTERM')
    await gateway.exited
    fleet.record(`${gateway.name} starts again`)
    fleet.startProcess(gateway, false)
  }
  const restartedAt = performance.now()
  const first = await untilHeld(undefined)
  const restarts = [restart(first)]
  await sleep(RESTART_GAP_MILLISECONDS)
  const second = await untilHeld(first)
  restarts.push(restart(second))
  await untilHeld(second)
  nameVersion()
  // The third holder waits for lease_ms before it orders.
  await sleep(LEASE_MILLISECONDS + 1_200)

  if (HAS_TROUBLE) {
    fleet.record('the store goes away')
    const { before, after, age } = await store.drill(AWAY_MILLISECONDS, performance.now() - restartedAt)
    fleet.record(`the store is back from a copy that is ${age} ms old: revision ${after} instead of ${before}, role ${JSON.stringify(store.value(ROLE_KEY))}`)
    store.put('op/config', config)
    store.put(`op/version/${MODEL}`, { model: MODEL, version })
    for (const replica of replicas) replica.register()
  } else await sleep(AWAY_MILLISECONDS)
  await Promise.all(restarts)
  for (let round = 0; round < 3; round++) {
    await sleep(5_000)
    nameVersion()
  }
  await sleep(6_000)
  return violations(replicas)
})

/** CONFIG: after the store has come back from an older copy, no gateway applies the next config, whose revision is lower. */
import { HAS_TROUBLE, runCase } from '../lib/fleet.mjs'
import { sleep } from '../lib/network.mjs'
import { configuration, Replica } from '../lib/replica.mjs'
import { sendAtRate } from '../lib/traffic.mjs'

const CONTACT_MILLISECONDS = 3_000
const APPLY_MILLISECONDS = 2_000
const AWAY_MILLISECONDS = 1_000
const COPY_AGE_MILLISECONDS = 4_000
/** How long requests are judged, from the time at which the bound is over and all machines are in touch. */
const JUDGED_MILLISECONDS = 10_000
/** Unsafe requests a second. */
const RATE = 18

/** All routes lead to one service. */
function configurationOf (version, service) {
  const base = configuration(version)
  const services = ['desk', 'desk-new'].map(name => ({ ...base.services[0], name }))
  return { ...base, routes: base.routes.map(route => ({ ...route, service })), services }
}

await runCase(import.meta.url, async fleet => {
  const { store } = fleet
  const replicas = [1, 2, 3].flatMap(number => (
    ['desk', 'desk-new'].map(service => new Replica(fleet, `${service}-${number}`, { service, zone: `zone-${number - 1}` }))))
  for (const replica of replicas) await replica.start()
  const write = (config, what) => {
    const revision = store.put('op/config', config)
    fleet.record(`config ${config.version}, ${what}, is acknowledged at revision ${revision}`)
  }
  write(configurationOf(3, 'desk'), 'with the service desk')
  await fleet.startGateways(3)
  await sleep(8_000)
  const current = configurationOf(5, 'desk')
  write(current, 'with the service desk')
  await sleep(800)
  if (HAS_TROUBLE) {
    fleet.record('the store goes away')
    const { before, after, age } = await store.drill(AWAY_MILLISECONDS, COPY_AGE_MILLISECONDS)
    fleet.record(`the store is back from a copy that is ${age} ms old: revision ${after} instead of ${before}`)
    write(current, 'written again')
    for (const replica of replicas) replica.register()
  } else await sleep(AWAY_MILLISECONDS)
  await sleep(1_500)
  write(configurationOf(8, 'desk-new'), 'with the service desk-new')
  await sleep(CONTACT_MILLISECONDS + APPLY_MILLISECONDS)
  const endsAt = performance.now() + JUDGED_MILLISECONDS
  fleet.record('from here on requests are judged')
  const answers = await sendAtRate(fleet, RATE, number => ({ path: `/action/${number}` }), () => performance.now() >= endsAt)
  return answers.flatMap(({ attempt }) => {
    const replica = replicas.find(({ service, ran }) => service === 'desk' && ran.some(request => request.attempt === attempt))
    return replica === undefined ? [] : `${attempt} was run by ${replica.id}, as only an older config allows`
  })
})

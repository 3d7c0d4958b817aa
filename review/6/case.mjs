/** A tenant becomes isolated by a new version of the config. Do other tenants still use what its requests cached before? */
import { send } from '../standins-2/client.mjs'
import { configOf, modelService, streamRoute } from '../standins-2/config.mjs'
import { Deployment, sleep } from '../standins-2/harness.mjs'
import { Replica } from '../standins-2/replica.mjs'
import { runCase } from '../standins-2/runCase.mjs'

const CONFIG_APPLY = 2_000

const config = (version, isIsolated) => configOf({
  version,
  routes: [streamRoute('/check/', 'models')],
  services: [modelService('models', 'model-a')],
  tenants: [
    { name: 'tenant-1', api_keys: ['key-of-tenant-1'], priority: 1, ...(isIsolated ? { isolated: true } : {}) },
    { name: 'tenant-2', api_keys: ['key-of-tenant-2'], priority: 1 }
  ]
})

async function run (recorder, hasTrouble) {
  const deployment = new Deployment(recorder)
  const replicas = []
  let asked = 0
  const ask = async key => {
    const { listen } = deployment.gateways[asked % deployment.gateways.length]
    const own = (0xd000 + asked++).toString(16)
    const answer = await send(recorder, listen.front, {
      path: '/check/1',
      timeout: 6_000,
      body: 'x'.repeat(2_000),
      headers: {
        'Api-Key': key,
        'X-Wasabihead-Model': 'model-a',
        'X-Wasabihead-Token-Count': '3000,13',
        'X-Wasabihead-Prefix-Hash': `aa01:1200,bb02:1300,${own}:500`
      }
    })
    if (answer.status !== 200) throw new Error('a request was not served')
  }
  try {
    for (let index = 0; index < 3; index++) {
      const zone = index < 2 ? 'zone-a' : 'zone-b'
      const replica = new Replica(recorder, deployment.store, {
        id: `i-${index}`, service: 'models', zone, slots: 48, models: { 'model-a': 1 }
      })
      replicas.push(replica)
      await replica.listen('127.0.0.1')
    }
    await deployment.start({ count: 2, config: config(1, false) })
    recorder.write('no tenant is isolated')
    for (let index = 0; index < 6; index++) await ask('key-of-tenant-1')
    deployment.store.put('op/config', config(3, hasTrouble))
    const acknowledgedAt = performance.now()
    recorder.write(`config 3 is acknowledged; tenant-1 is ${hasTrouble ? '' : 'not '}isolated`)
    await sleep(CONFIG_APPLY + 1_000)
    for (let index = 0; index < 6; index++) await ask('key-of-tenant-2')
    for (let index = 0; index < 2; index++) await ask('key-of-tenant-1')
    const isolated = hasTrouble ? ['tenant-1'] : []
    const broken = replicas.flatMap(({ runs }) => runs).filter(({ at, headers, uses }) => {
      const tenant = headers['x-wasabihead-tenant']
      const isForeign = use => use.tenant !== tenant && (isolated.includes(use.tenant) || isolated.includes(tenant))
      return at > acknowledgedAt + CONFIG_APPLY && uses.some(isForeign)
    })
    recorder.write(`${broken.length} requests used what a request of another tenant made, and one of the two is isolated`)
    return broken.length
  } finally {
    await deployment.end()
    for (const replica of replicas) replica.close()
  }
}

await runCase(import.meta.url, run)

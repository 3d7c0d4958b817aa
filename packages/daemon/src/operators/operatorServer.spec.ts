import { createHash } from 'node:crypto'
import fc from 'fast-check'
import got, { type OptionsInit } from 'got'
import { Result } from 'true-myth'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { MemberTable, ReplicaTable } from '@wasabihead/coordination'
import { ConfigurationRoutes, type ConfigurationController } from '../configuration/index.js'
import { checkSource } from '../configuration/configurationController.js'
import { MemberRoutes } from '../membership/index.js'
import { Metrics, MetricsRoutes } from '../telemetry/index.js'
import { DrainRoutes, OperatorServer, StatusRoutes } from './index.js'

const TOKEN = 'token-of-the-operators'
const controller = {
  state: { current: undefined },
  apply: async ({ source }: { source: string }) => checkSource(source).match({
    Ok: () => Result.ok({ revision: 1, digest: '' }), Err: error => Result.err(error)
  })
} as unknown as ConfigurationController

let server: OperatorServer
let address: string
let drains: number
test.before.each(async () => {
  drains = 0
  const members = new MemberTable({
    host: 'entry-0', incarnation: 1, version: 1, dataCentre: 'leeds', peerAddress: '', callerAddress: '', state: 'alive', configurationRevision: 0
  })
  const metrics = new Metrics()
  const replicas = new ReplicaTable()
  replicas.configure([{ name: 'engine-0', dataCentre: 'leeds' }])
  replicas.onCacheSnapshot('engine-0', { incarnation: 1, sequence: 7, blockKeys: [] })
  const configurationVersion = () => ({ revision: 0, digest: '' })
  server = new OperatorServer(createHash('sha256').update(TOKEN).digest('hex'), [
    new ConfigurationRoutes(controller, members),
    new MemberRoutes(members),
    new MetricsRoutes(metrics),
    new StatusRoutes({ environment: 'trial', members, metrics, configurationVersion, running: () => 2, backendServers: () => replicas.replicas }),
    new DrainRoutes('entry-0', () => { drains += 1 })
  ])
  address = `http://127.0.0.1:${await server.start('127.0.0.1', 0)}`
})
test.after.each(async () => { await server.stop() })

async function send (method: string, path: string, options: OptionsInit = {}) {
  const response = await got(address + path, {
    method, retry: { limit: 0 }, throwHttpErrors: false, headers: { authorization: `Bearer ${TOKEN}` }, ...options
  } as OptionsInit) as unknown as { statusCode: number, body: string }
  return { status: response.statusCode, body: JSON.parse(response.body) }
}

test('should show the state of the instance', async () => {
  const { body } = await send('GET', '/v1/status')
  assert.is(body.instance.environment, 'trial')
  assert.is(body.running, 2)
  assert.equal(body.backendServers, [{ name: 'engine-0', acceptsWork: true, lastEventSequence: 7 }])
  assert.equal([body.members.length, body.histograms, body.counters], [1, [], []])
})

test('should drain at the request of operators only', async () => {
  assert.is((await send('POST', '/v1/drain', { headers: {} })).status, 401)
  assert.is(drains, 0)
  assert.is((await send('POST', '/v1/drain')).status, 202)
  assert.is(drains, 1)
})

test('should answer any malformed input with a typed client error', async () => {
  const path = fc.oneof(fc.constantFrom('/v1/configuration', '/v1/status', '/v1/members', '/v1/none', '/v1/%E0%A4%A'), fc.webPath())
  const change = fc.record({ source: fc.string(), expectedRevision: fc.nat(), author: fc.string() })
  const body = fc.oneof(fc.json(), fc.string({ maxLength: 60 }), change.map(value => JSON.stringify(value)))
  const encoding = fc.constantFrom('identity', 'gzip', 'nonsense')
  await fc.assert(fc.asyncProperty(path, body, encoding, fc.constantFrom('GET', 'PUT', 'DELETE'), async (...input) => {
    const [chosenPath, text, contentEncoding, method] = input
    const headers = { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json', 'content-encoding': contentEncoding }
    const response = await send(method, chosenPath, { headers, ...(method === 'GET' ? {} : { body: text }) })
    if (response.status < 300) return
    assert.ok(response.status >= 400 && response.status < 500, String(response.status))
    assert.type(response.body.error.remedy, 'string')
  }), { seed: 1, numRuns: 200 })
  assert.is((await send('GET', '/v1/status')).status, 200)
})

test.run()

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { HomeDirectory, homeOf, MemberTable, type Member } from '@wasabihead/coordination'
import { SystemClock } from '../instance/clock.js'
import { PeerConnections, PeerRoutes, PeerServer } from '../peers/index.js'
import { RoutingService } from '../peers/gen/wasabihead/v1/routing_pb.js'
import { PromptHomes, HomePeerClient, HomePeerRoutes } from './index.js'

const HOSTS = ['entry-0', 'entry-1', 'entry-2']
const LONG_ENOUGH = 10_000
const PROMPT = { affinity: 'rulebook', model: 'm' }
const BLOCK_KEYS = ['a', 'ab']
const clock = new SystemClock()

class SilentRoutes extends PeerRoutes {
  override register (router: Parameters<PeerRoutes['register']>[0]): void {
    router.service(RoutingService, { askHome: async () => await new Promise(() => {}) })
  }
}

function memberOf (host: string, peerAddress: string): Member {
  const callerAddress = `http://${host}`
  return {
    host, incarnation: 1, version: 1, dataCentre: 'leeds', peerAddress, callerAddress, state: 'alive', configurationRevision: 1
  }
}

/** Starts a peer server for each host, runs the check with the `PromptHomes` of each, the prompt's home first, and stops them. */
async function withInstances (
  check: (instances: PromptHomes[]) => Promise<void>, { isSilent = false, askTimeout = LONG_ENOUGH } = {}
): Promise<void> {
  const directories = HOSTS.map(() => new HomeDirectory())
  const routes = directories.map(directory => isSilent ? new SilentRoutes() : new HomePeerRoutes(directory, clock))
  const servers = routes.map(service => new PeerServer([service]))
  const ports = await Promise.all(servers.map(async server => await server.start('127.0.0.1', 0)))
  const members = HOSTS.map((host, index) => memberOf(host, `http://127.0.0.1:${ports[index]}`))
  const instances = members.map((self, index) => {
    const table = new MemberTable(self)
    for (const member of members) table.merge(member, 0)
    const peers = new HomePeerClient(new PeerConnections())
    return { self, promptHomes: new PromptHomes(table, directories[index] as HomeDirectory, peers, clock, askTimeout) }
  })
  const home = homeOf(members, { ...PROMPT, dataCentre: 'leeds' })
  const homeFirst = [...instances.filter(({ self }) => self === home), ...instances.filter(({ self }) => self !== home)]
  try {
    await check(homeFirst.map(({ promptHomes }) => promptHomes))
  } finally {
    await Promise.all(servers.map(async server => { await server.stop() }))
  }
}

async function replicasHinted (promptHomes: PromptHomes | undefined): Promise<string[]> {
  const hints = await promptHomes?.findReplicas(PROMPT, BLOCK_KEYS) ?? []
  return hints.map(hint => `${hint.replica} run ${hint.incarnation} holds ${hint.blockCount}`)
}

for (const [title, reporter, reader] of [['another host to the home', 1, 0], ['the home to another host', 0, 1],
  ['one host to a third', 1, 2], ['a host to itself', 2, 2]] as const) {
  test(`should give a placement from ${title}`, async () => {
    await withInstances(async instances => {
      instances[reporter]?.reportPlacement(PROMPT, 'replica-1', 7, BLOCK_KEYS)
      let hinted: string[] = []
      while (hinted.length === 0) {
        await new Promise(resolve => { setImmediate(resolve) })
        hinted = await replicasHinted(instances[reader])
      }
      assert.equal(hinted, ['replica-1 run 7 holds 2'])
    })
  })
}

test('should continue without a hint if the home does not answer', async () => {
  await withInstances(async instances => {
    assert.equal(await replicasHinted(instances[1]), [])
  }, { isSilent: true, askTimeout: 1 })
})

test('should limit the number of concurrent calls to homes', async () => {
  const self = memberOf('entry-0', 'http://127.0.0.1:1')
  const table = new MemberTable({ ...self, callerAddress: '' })
  table.merge(memberOf('entry-1', 'http://127.0.0.1:2'), 0)
  let calls = 0
  const ask = async () => await new Promise<never>(() => { calls += 1 })
  const promptHomes = new PromptHomes(table, new HomeDirectory(), { findReplicas: ask, reportPlacement: ask }, clock, 1)
  await Promise.all(Array.from({ length: 100 }, async () => await replicasHinted(promptHomes)))
  promptHomes.reportPlacement(PROMPT, 'replica-1', 7, BLOCK_KEYS)
  assert.is(calls, 64)
})

test.run()

/** Runs one stand-in as a process: `main.js <name> --port N`. Prints `listening <address>` once it accepts connections. */
import { cac } from 'cac'
import { z } from 'zod'
import { CacheStoreStandIn } from './cacheStore/cacheStoreStandIn.js'
import type { StandInServer } from './common/standInServer.js'
import { HostListStandIn } from './hostList/hostListStandIn.js'
import { KeyValueStandIn } from './keyValue/keyValueStandIn.js'
import { ModelEngineStandIn } from './modelEngine/modelEngineStandIn.js'
import { PlainServiceStandIn } from './plainService/plainServiceStandIn.js'
import { WeightStoreStandIn } from './weightStore/weightStoreStandIn.js'

const optionsSchema = z.object({
  port: z.coerce.number().int().nonnegative().default(0),
  model: z.string().default('policy'),
  weightVersion: z.string().default('v1'),
  cacheBlocks: z.coerce.number().int().positive().default(8),
  storeBlocks: z.coerce.number().int().positive().default(1_000),
  tokenDelay: z.coerce.number().nonnegative().default(5),
  prefillRate: z.coerce.number().positive().default(20_000),
  loadTime: z.coerce.number().nonnegative().default(400),
  restartTime: z.coerce.number().nonnegative().default(1_000),
  workTime: z.coerce.number().nonnegative().default(10),
  lag: z.coerce.number().nonnegative().default(1_000),
  checksFencing: z.coerce.boolean().default(true)
})
type Options = z.infer<typeof optionsSchema>

function createStandIn (name: string, options: Options): StandInServer {
  switch (name) {
    case 'key-value': return new KeyValueStandIn()
    case 'model-engine': return new ModelEngineStandIn({
      model: options.model,
      weightVersion: options.weightVersion,
      cacheBlocks: options.cacheBlocks,
      tokenDelayMilliseconds: options.tokenDelay,
      prefillTokensPerSecond: options.prefillRate,
      loadMilliseconds: options.loadTime,
      restartMilliseconds: options.restartTime,
      checksFencing: options.checksFencing
    })
    case 'plain-service': return new PlainServiceStandIn(options.workTime)
    case 'cache-store': return new CacheStoreStandIn(options.storeBlocks)
    case 'host-list': return new HostListStandIn(options.lag)
    case 'weight-store': return new WeightStoreStandIn(['v1', 'v2'])
    default: throw new Error(`There is no stand-in named "${name}". Use one of the names in main.ts`)
  }
}

const program = cac('wasabihead-standin')
program.command('<name>', 'Start one stand-in').allowUnknownOptions().action(async (name: string, rawOptions: unknown) => {
  const standIn = createStandIn(name, optionsSchema.parse(rawOptions))
  const address = await standIn.start(optionsSchema.parse(rawOptions).port)
  process.stdout.write(`listening ${address}\n`)
  process.once('SIGTERM', () => { standIn.stop().finally(() => process.exit(0)) })
  process.once('SIGINT', () => { standIn.stop().finally(() => process.exit(0)) })
})
program.parse()

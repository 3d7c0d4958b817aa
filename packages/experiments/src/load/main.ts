/** `npm run load -- [--rate N] [--seconds N] [--fault name@start:duration] ...`: runs load against daemons and stand-ins. */
import { cac } from 'cac'
import { z } from 'zod'
import { applyDocument } from '../demonstration/index.js'
import { Fleet } from '../processes/index.js'
import { FAULT_NAMES, parseFault, runLoad, type LoadReport, type PlannedFault } from './index.js'

const EXIT_BROKEN = 1
const EXIT_BAD_USAGE = 2
const MAXIMUM_SECONDS = 300
const MAXIMUM_RATE = 500

const optionsSchema = z.object({
  instances: z.coerce.number().int().min(1).max(8).default(4),
  engines: z.coerce.number().int().min(1).max(16).default(4),
  rate: z.coerce.number().positive().max(MAXIMUM_RATE).default(40),
  seconds: z.coerce.number().positive().max(MAXIMUM_SECONDS).default(10),
  prompts: z.coerce.number().int().positive().default(12),
  seed: z.coerce.number().int().nonnegative().default(1),
  fault: z.union([z.string(), z.array(z.string())]).default([]).transform(value => typeof value === 'string' ? [value] : value),
  json: z.boolean().default(false)
})
type Options = z.infer<typeof optionsSchema>

const program = cac('load')
program.option('--instances <count>', 'Instances of the daemon (default 4)')
program.option('--engines <count>', 'Model engines (default 4)')
program.option('--rate <count>', 'Requests per second (default 40)')
program.option('--seconds <count>', 'Duration of the run in seconds (default 10)')
program.option('--prompts <count>', 'Distinct prompts; fewer prompts repeat more often (default 12)')
program.option('--seed <number>', 'Seed of the plan (default 1)')
program.option('--fault <fault>', `name@start:duration with times in seconds, repeatable: ${FAULT_NAMES.join(', ')}`)
program.option('--json', 'Print JSON')
program.help()
const parsed = program.parse()
if (parsed.options.help !== true) await main(optionsSchema.parse(parsed.options))

async function main (options: Options): Promise<void> {
  const faults: PlannedFault[] = []
  for (const text of options.fault) {
    const fault = parseFault(text)
    if (fault.isErr) {
      process.stderr.write(`${fault.error.message}\n`)
      process.exitCode = EXIT_BAD_USAGE
      return
    }
    faults.push(fault.value)
  }
  const fleet = new Fleet()
  try {
    await fleet.start({ instances: options.instances, engines: options.engines, hasRelays: true })
    await fleet.waitForMembers(options.instances)
    await applyDocument(fleet)
    const { seed, rate, seconds, prompts } = options
    show(await runLoad(fleet, { seed, requestsPerSecond: rate, duration: seconds * 1_000, prompts }, faults), options)
  } finally {
    await fleet.stop()
  }
}

function show (report: LoadReport, options: Options): void {
  if (report.breaches.length > 0) process.exitCode = EXIT_BROKEN
  if (options.json) {
    const { rows, refusals, breaches } = report
    process.stdout.write(`${JSON.stringify({ options, rows, refusals, breaches })}\n`)
    return
  }
  console.table(report.rows)
  console.table(report.refusals)
  for (const breach of report.breaches) {
    process.stdout.write(`BROKEN ${breach.promise}\n  ${breach.request}\n  ${breach.evidence}\n`)
  }
  process.stdout.write(`${report.breaches.length} promises broken over ${report.records.length} requests\n`)
}

/** `npm run measure`: replays returning prompts through the routing decisions, beside the baselines. */
import { cac } from 'cac'
import { z } from 'zod'
import { faultNames } from './faults.js'
import { referenceRows, summarizeExplanation, type ExplanationRow, type ReferenceRow } from './explanationSummary.js'
import { boundOfRecomputedShare } from './knowingBound.js'
import { createPolicies } from './measuredPolicy.js'
import { Replay } from './replay.js'
import { round, summarize, type PolicySummary } from './summary.js'
import { makeTrace } from './trace.js'
import { workloads, type Workload } from './workload.js'

const EXIT_BAD_USAGE = 2
const workloadNames = workloads.map(({ name }) => name)
const optionsSchema = z.object({
  workload: z.enum(workloadNames).optional(),
  policy: z.string().optional(),
  fault: z.enum(faultNames).default('none'),
  seed: z.coerce.number().int().nonnegative().default(1),
  seeds: z.coerce.number().int().positive().default(1),
  explain: z.boolean().default(false),
  json: z.boolean().default(false)
})
type Options = z.infer<typeof optionsSchema>

const program = cac('measure')
program.option('--workload <name>', `One of ${workloadNames.join(', ')}; all if absent`)
program.option('--policy <name>', `One of ${createPolicies().map(({ name }) => name).join(', ')}; all if absent`)
program.option('--fault <name>', `One of ${faultNames.join(', ')} (default none)`)
program.option('--seed <number>', 'First seed (default 1)')
program.option('--seeds <number>', 'Count of successive seeds (default 1)')
program.option('--explain', 'Also print where the time and the recomputed tokens went')
program.option('--json', 'Print JSON')
program.help()
const parsed = program.parse()
if (parsed.options.help !== true) start(parsed.options)

function start (given: object): void {
  const options = optionsSchema.safeParse(given)
  if (options.success) {
    for (const workload of workloads.filter(({ name }) => [name, undefined].includes(options.data.workload))) {
      measure(workload, options.data)
    }
    return
  }
  process.stderr.write(`${z.prettifyError(options.error)}\nUse --help for the values that an option takes\n`)
  process.exitCode = EXIT_BAD_USAGE
}

function measure (workload: Workload, options: Options): void {
  const runs: PolicySummary[] = []
  const bounds: number[] = []
  for (let seed = options.seed; seed < options.seed + options.seeds; seed++) {
    const trace = makeTrace(workload, seed, options.fault)
    const bound = round(boundOfRecomputedShare(workload, trace) * 100, 2)
    bounds.push(bound)
    const explanations: ExplanationRow[] = []
    const rows = createPolicies()
      .filter(({ name }) => options.policy === undefined || options.policy === name)
      .map(policy => {
        const replay = new Replay(workload, trace, policy, options.fault, seed)
        const counts = replay.run()
        if (options.explain) explanations.push(summarizeExplanation(policy.name, replay.explanation, counts))
        return summarize(policy.name, counts)
      })
    runs.push(...rows)
    print(workload, options, seed, trace.length, bound, rows)
    if (options.explain) printExplanation(options, referenceRows(workload, trace), explanations)
  }
  if (options.seeds > 1) printSpread(workload, options, bounds, runs)
}

function print (
  workload: Workload, options: Options, seed: number, requests: number, bound: number, rows: PolicySummary[]
): void {
  if (options.json) {
    const line = { workload: workload.name, fault: options.fault, seed, requests, boundPercent: bound, rows }
    process.stdout.write(`${JSON.stringify(line)}\n`)
    return
  }
  process.stdout.write(`${workload.name}, fault ${options.fault}, seed ${seed}: ${requests} requests; ` +
    `an all-knowing policy recomputes ${bound}%. Times to first token in ms, decisions in µs, links in GB\n`)
  console.table(rows)
}

function printExplanation (options: Options, references: readonly ReferenceRow[], explanations: readonly ExplanationRow[]): void {
  if (options.json) {
    process.stdout.write(`${JSON.stringify({ references, explanations })}\n`)
    return
  }
  process.stdout.write('References: each prompt\'s recompute alone on an idle replica that holds the pool of all tiers, in ms\n')
  console.table(references)
  process.stdout.write('Means in ms over the slowest twentieth, and recomputed tokens by cause in percent of all prompt tokens\n')
  console.table(explanations)
}

function printSpread (workload: Workload, options: Options, bounds: readonly number[], runs: readonly PolicySummary[]): void {
  const policies = [...new Set(runs.map(({ policy }) => policy))]
  const rows = policies.map(policy => {
    const own = runs.filter(run => run.policy === policy)
    return {
      policy,
      p50: spread(own.map(run => run.p50)),
      p95: spread(own.map(run => run.p95)),
      p99: spread(own.map(run => run.p99)),
      returningP95: spread(own.map(run => run.returningP95)),
      recomputedPercent: spread(own.map(run => run.recomputedPercent)),
      overBound: spread(own.map((run, index) => round(run.recomputedPercent / (bounds[index] as number), 2))),
      decisionP99: spread(own.map(run => run.decisionP99)),
      unanswered: spread(own.map(run => run.unanswered))
    }
  })
  if (options.json) {
    process.stdout.write(`${JSON.stringify({ workload: workload.name, fault: options.fault, seeds: options.seeds, spread: rows })}\n`)
    return
  }
  process.stdout.write(`${workload.name}, fault ${options.fault}, ${options.seeds} seeds: least, median and most\n`)
  console.table(rows)
}

function spread (values: readonly number[]): string {
  const sorted = [...values].sort((left, right) => left - right)
  return `${sorted[0] ?? 0} / ${sorted[sorted.length >> 1] ?? 0} / ${sorted.at(-1) ?? 0}`
}

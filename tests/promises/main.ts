/** `npm run prove -- [--promise NAME] [--seed N] [--runs N] [--list]`: runs the proofs by seed; exits with 1 on a breach. */
import { cac } from 'cac'
import { z } from 'zod'
import { proofs, type Proof, type ProofRun } from './index.js'

const EXIT_BROKEN = 1
const EXIT_BAD_USAGE = 2
const optionsSchema = z.object({
  promise: z.string().optional(),
  seed: z.coerce.number().int().nonnegative().default(1),
  runs: z.coerce.number().int().positive().default(20),
  list: z.boolean().default(false)
})
type Options = z.infer<typeof optionsSchema>

const program = cac('prove')
program.option('--promise <name>', 'Prove one promise; all if absent')
program.option('--seed <number>', 'Seed of the first run (default 1)')
program.option('--runs <number>', 'Runs with successive seeds (default 20)')
program.option('--list', 'List the promises and the failures injected')
program.help()
const parsed = program.parse()
if (parsed.options.help !== true) prove(optionsSchema.parse(parsed.options))

function prove (options: Options): void {
  const chosen = proofs.filter(({ name }) => options.promise === undefined || options.promise === name)
  if (chosen.length === 0) {
    process.stderr.write(`There is no promise "${options.promise ?? ''}". Use --list for their names\n`)
    process.exitCode = EXIT_BAD_USAGE
  }
  for (const proof of chosen) {
    if (options.list) process.stdout.write(`${proof.name}: ${proof.promise}\n  failures: ${proof.failures.join(', ')}\n`)
    else proveOne(proof, options)
  }
}

function proveOne (proof: Proof, options: Options): void {
  const totals: Record<string, number> = {}
  for (let seed = options.seed; seed < options.seed + options.runs; seed++) {
    const run = proof.run(seed)
    if (run.violations.length > 0) return reportBreach(proof, seed, run)
    for (const [name, count] of Object.entries(run.counts)) totals[name] = (totals[name] ?? 0) + count
  }
  process.stdout.write(`holds   ${proof.name}: ${options.runs} runs from seed ${options.seed}, ${JSON.stringify(totals)}\n`)
}

function reportBreach (proof: Proof, seed: number, run: ProofRun): void {
  const [violation] = run.violations
  process.stdout.write(`BROKEN  ${proof.name}: ${proof.promise}\n  seed ${seed}: ${violation?.problem ?? ''}\n`)
  for (const line of violation?.evidence ?? []) process.stdout.write(`  ${line}\n`)
  process.exitCode = EXIT_BROKEN
}

/** `npm run measure:coordination -- [--topic NAME] [--seed N] [--json]`: measures the coordination decisions. */
import { cac } from 'cac'
import { z } from 'zod'
import { coordinationMeasurements } from './index.js'

const EXIT_BAD_USAGE = 2
const optionsSchema = z.object({
  topic: z.string().optional(),
  seed: z.coerce.number().int().nonnegative().default(1),
  json: z.boolean().default(false)
})

const program = cac('measure:coordination')
program.option('--topic <name>', `One of ${coordinationMeasurements.map(({ name }) => name).join(', ')}; all if absent`)
program.option('--seed <number>', 'Seed of the replay (default 1)')
program.option('--json', 'Print JSON')
program.help()
const parsed = program.parse()
if (parsed.options.help !== true) measure(optionsSchema.parse(parsed.options))

function measure (options: z.infer<typeof optionsSchema>): void {
  const selected = coordinationMeasurements.filter(({ name }) => options.topic === undefined || options.topic === name)
  if (selected.length === 0) {
    process.stderr.write(`There is no topic "${options.topic ?? ''}". Use --help for the topics\n`)
    process.exitCode = EXIT_BAD_USAGE
  }
  for (const measurement of selected) {
    const rows = measurement.run(options.seed)
    if (options.json) {
      process.stdout.write(`${JSON.stringify({ topic: measurement.name, seed: options.seed, rows })}\n`)
      continue
    }
    process.stdout.write(`${measurement.name}: ${measurement.description} (seed ${options.seed})\n`)
    console.table(rows)
  }
}

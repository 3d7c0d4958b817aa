/** `npm run measure:capacity -- [--role NAME] [--json]`: measures each role, and extrapolates its cost to the target's size. */
import { cac } from 'cac'
import { z } from 'zod'
import { CAPACITY_FIGURES, capacityRoles, fitLine, valueAt, type CapacityRole, type CapacitySample } from './index.js'

const EXIT_BAD_USAGE = 2
const SIGNIFICANT_DIGITS = 3
const optionsSchema = z.object({ role: z.string().optional(), json: z.boolean().default(false) })

const program = cac('measure:capacity')
program.option('--role <name>', `One of ${capacityRoles.map(({ name }) => name).join(', ')}; all if absent`)
program.option('--json', 'Print JSON')
program.help()
const parsed = program.parse()
if (parsed.options.help !== true) await measure(optionsSchema.parse(parsed.options))

async function measure (options: z.infer<typeof optionsSchema>): Promise<void> {
  const selected = capacityRoles.filter(({ name }) => options.role === undefined || options.role === name)
  if (selected.length === 0) {
    process.stderr.write(`There is no role "${options.role ?? ''}". Use --help for the roles\n`)
    process.exitCode = EXIT_BAD_USAGE
  }
  for (const role of selected) {
    const samples: CapacitySample[] = []
    for (const size of role.sizes) samples.push(await role.measure(size))
    printRole(role, samples, options.json)
  }
}

function printRole (role: CapacityRole, samples: readonly CapacitySample[], isJson: boolean): void {
  const target = extrapolate(role, samples)
  if (isJson) {
    process.stdout.write(`${JSON.stringify({ role: role.name, mechanism: role.mechanism, unit: role.unit, samples, target })}\n`)
    return
  }
  process.stdout.write(`${role.name}: ${role.mechanism}; sizes count ${role.unit}\n`)
  console.table([
    ...samples.map(sample => ({ from: 'measured', ...roundFigures(sample) })),
    { from: 'worked out', ...roundFigures(target) }
  ])
}

function roundFigures (sample: CapacitySample): CapacitySample {
  const shown = { ...sample }
  for (const figure of CAPACITY_FIGURES) shown[figure] = Number(sample[figure].toPrecision(SIGNIFICANT_DIGITS))
  return shown
}

function extrapolate (role: CapacityRole, samples: readonly CapacitySample[]): CapacitySample {
  const target = { size: role.targetSize } as CapacitySample
  for (const figure of CAPACITY_FIGURES) {
    const line = fitLine(samples.map(sample => ({ size: sample.size, value: sample[figure] })))
    target[figure] = Math.max(0, valueAt(line, role.targetSize))
  }
  return target
}

/** The demonstration. `npm start` serves until interrupted; with `-- --once` it exits, with 0 only if every answer was whole. */
import { Fleet } from '../processes/index.js'
import { applyDocument, DEMONSTRATION_PREFILL_RATE, serveRequests, type DemonstrationStep } from './demonstration.js'

const isOnce = process.argv.includes('--once')
const fleet = new Fleet()

async function demonstrate (): Promise<boolean> {
  await fleet.start({ instances: 2, engines: 2, prefillRate: DEMONSTRATION_PREFILL_RATE })
  await fleet.waitForMembers(2)
  let isAllWhole = show(await applyDocument(fleet))
  for await (const step of serveRequests(fleet)) isAllWhole = show(step) && isAllWhole
  return isAllWhole
}

function show (step: DemonstrationStep): boolean {
  process.stdout.write(`${step.isWhole ? 'whole ' : 'FAILED'} ${step.title}\n       ${step.detail}\n`)
  return step.isWhole
}

async function end (code: number): Promise<void> {
  await fleet.stop()
  process.exit(code)
}

process.once('SIGINT', () => { end(0).catch(() => process.exit(1)) })
process.once('SIGTERM', () => { end(0).catch(() => process.exit(1)) })
try {
  const isAllWhole = await demonstrate()
  if (isOnce) await end(isAllWhole ? 0 : 1)
  const callers = fleet.instances.map(instance => instance.addresses.caller)
  const operators = fleet.instances.map(instance => instance.addresses.operator)
  process.stdout.write(`serving callers at ${callers.join(' ')} and operators at ${operators.join(' ')}; interrupt to stop\n`)
} catch (error) {
  process.stderr.write(`${String(error)}\n`)
  await end(1)
}

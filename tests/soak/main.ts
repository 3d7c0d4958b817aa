/** `npm run soak`: seeded runs with externally injected faults. Exits with code 1 if a promise was broken. */
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { runSoak, type SoakReport } from './soakRun.js'

const MILLISECONDS_PER_MINUTE = 60_000
const PROCESSES_FOR_EACH_REPLICA = 2

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: String(Date.now() % 1_000_000) },
    runs: { type: 'string', default: '1' },
    minutes: { type: 'string', default: '0.2' },
    processes: { type: 'string', default: '4' },
    'request-interval': { type: 'string', default: '15' }
  }
})

function saveLogs (seed: number, report: SoakReport): string {
  const folder = mkdtempSync(join(tmpdir(), `wasabihead-soak-${seed}-`))
  writeFileSync(join(folder, 'faults.txt'), report.faults.join('\n'))
  for (const [name, text] of report.logs) writeFileSync(join(folder, `${name}.log`), text)
  return folder
}

let failed = 0
for (let run = 0; run < Number(values.runs); run++) {
  const seed = Number(values.seed) + run
  const gateways = Number(values.processes)
  const report = await runSoak({
    seed,
    milliseconds: Number(values.minutes) * MILLISECONDS_PER_MINUTE,
    gateways,
    replicas: Math.max(3, Math.round(gateways / PROCESSES_FOR_EACH_REPLICA)),
    requestInterval: Number(values['request-interval'])
  })
  const { requests, answers, unanswered, violations } = report
  const verdict = violations.length === 0 ? 'ok' : 'BROKEN'
  console.log(`seed ${seed}: ${verdict}, ${requests} requests, answers ${JSON.stringify(answers)}, unanswered ${unanswered}`)
  for (const { promise, detail } of violations) console.log(`  ${promise}: ${detail}`)
  if (violations.length > 0) {
    failed += 1
    console.log(`  logs: ${saveLogs(seed, report)}`)
  }
}
console.log(`${Number(values.runs) - failed} passed, ${failed} failed`)
process.exitCode = failed === 0 ? 0 : 1

import { createHash } from 'node:crypto'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ExitCode, runCommandLine } from '../program/index.js'
import { commandGroups } from './index.js'

const TOKEN = 'token-of-the-operators'
const UNUSED_ADDRESS = 'http://127.0.0.1:9'
const BASE = readFileSync(new URL('../../../../examples/document.yaml', import.meta.url), 'utf8')
const MINE = BASE.replace('share: 2', 'share: 3')
const THEIRS = BASE.replace('recomputeWeight: 0.8', 'recomputeWeight: 0.5')
const digestOf = (text: string) => createHash('sha256').update(text).digest('hex')

/** Fake operators' address of an instance, with its configuration history in memory. */
class FakeInstance {
  readonly changeTokens: unknown[] = []
  readonly calls: string[] = []
  readonly bodies: Array<Record<string, unknown>> = []
  changes: Array<{
    revision: number, digest: string, source: string, author: string, appliedAt: string, changeToken?: unknown
  }> = []

  /** Hosts that are one revision behind. */
  lagging: string[] = []
  /** Number of following PUT calls that take effect without an answer. */
  answersToDrop = 0
  /** Whether reads of single revisions get status 404. */
  hasPrunedHistory = false
  /** Document of another operator that is accepted just before the next change. */
  competingSource: string | undefined
  address = ''
  private readonly _server = http.createServer((request, response) => {
    const chunks: Buffer[] = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => {
      const text = Buffer.concat(chunks).toString()
      const answer = request.headers.authorization === `Bearer ${TOKEN}`
        ? this._answer(request.method ?? '', request.url ?? '', text === '' ? {} : JSON.parse(text))
        : { status: 401, body: { error: { type: 'unauthorized', message: 'Wrong token', remedy: 'Set it' } } }
      if (request.method === 'PUT' && this.answersToDrop-- > 0) response.destroy()
      else response.writeHead(answer.status).end(JSON.stringify(answer.body))
    })
  })

  async start (): Promise<void> {
    await new Promise<void>(resolve => { this._server.listen(0, '127.0.0.1', resolve) })
    this.address = `http://127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  stop (): void {
    this._server.closeAllConnections()
    this._server.close()
  }

  accept (source: string, author: string, changeToken?: unknown): void {
    this.changes.push({ revision: this.changes.length + 1, digest: digestOf(source), source, author, appliedAt: 'now', changeToken })
  }

  private _answer (method: string, url: string, body: Record<string, unknown>): { status: number, body: unknown } {
    this.calls.push(`${method} ${url}`)
    this.bodies.push(body)
    const current = this.changes.at(-1)
    if (method === 'PUT') return this._change(body)
    if (url === '/v1/configuration') return { status: 200, body: current ?? { revision: 0 } }
    if (url === '/v1/configuration/history') return { status: 200, body: { changes: this.changes } }
    if (url.startsWith('/v1/configuration/history/') && !this.hasPrunedHistory) return { status: 200, body: this.changes[Number(url.split('/').at(-1)) - 1] }
    if (url === '/v1/members') return { status: 200, body: { self: 'entry-0', members: this._members() } }
    if (url === '/v1/status') return { status: 200, body: this._status() }
    if (url.startsWith('/v1/claims?') || url === '/v1/claims') {
      return { status: 200, body: { claims: [{ workspace: 'harrowgate', idempotencyKey: 'order/1', state: 'unknown' }] } }
    }
    if (url.startsWith('/v1/claims/')) return { status: 200, body: { workspace: 'harrowgate', state: 'unknown' } }
    if (url === '/v1/quarantine') {
      return { status: 200, body: { entries: [{ fingerprint: 'f1', workspace: 'harrowgate', kind: 'k', state: 'quarantined', since: 5 }] } }
    }
    if (url === '/v1/quarantine/f1' || url === '/v1/drain') return { status: 200, body: { host: 'entry-0' } }
    return { status: 404, body: { error: { type: 'not-found', message: 'Nothing is here', remedy: 'Look elsewhere' } } }
  }

  private _change (body: Record<string, unknown>): { status: number, body: unknown } {
    this.changeTokens.push(body.changeToken)
    if (this.competingSource !== undefined) this.accept(this.competingSource, 'rival')
    this.competingSource = undefined
    const current = this.changes.at(-1)
    if (current?.changeToken !== body.changeToken || current === undefined) {
      if (body.expectedRevision !== (current?.revision ?? 0)) {
        return { status: 409, body: { error: { type: 'configuration-conflict', message: 'Another', remedy: 'Again' }, current } }
      }
      this.accept(String(body.source), String(body.author), body.changeToken)
    }
    const { revision, digest } = this.changes.at(-1) as { revision: number, digest: string }
    return { status: 200, body: { revision, digest } }
  }

  private _members (): unknown[] {
    return ['entry-0', 'entry-1'].map(host => {
      const configurationRevision = this.changes.length - (this.lagging.includes(host) ? 1 : 0)
      return { host, dataCentre: 'leeds', state: 'alive', callerAddress: 'http://10.0.0.1:8080', configurationRevision }
    })
  }

  private _status (): object {
    return {
      instance: { host: 'entry-0', dataCentre: 'leeds', environment: 'trial', state: 'alive' },
      configuration: { revision: 1, digest: 'd' },
      running: 3,
      members: this._members(),
      histograms: [{ workspace: 'harrowgate', requestKind: 'letter', measure: 'first-token', count: 9, p50: 1, p95: 2, p99: 3 }],
      counters: [{ workspace: 'harrowgate', requestKind: 'letter', measure: 'retries', count: 4 }]
    }
  }
}

let instance: FakeInstance
let second: FakeInstance
let folder: string
test.before.each(async () => {
  instance = new FakeInstance()
  second = new FakeInstance()
  await Promise.all([instance.start(), second.start()])
  folder = mkdtempSync(join(tmpdir(), 'wasabihead-cli-'))
  writeFileSync(join(folder, 'mine.yaml'), MINE)
  writeFileSync(join(folder, 'wrong.yaml'), BASE.replace('share: 2', 'shares: 2'))
})
test.after.each(() => {
  instance.stop()
  second.stop()
  rmSync(folder, { recursive: true })
})

async function run (words: string[], environment: Record<string, string> = {}) {
  let output = ''
  let errors = ''
  const code = await runCommandLine(words, commandGroups, {
    environment: { WASABIHEAD_OPERATOR_ADDRESS: instance.address, WASABIHEAD_OPERATOR_TOKEN: TOKEN, ...environment },
    printOutput: text => { output += text },
    printError: text => { errors += text }
  })
  return { code, output, errors }
}

const mine = () => join(folder, 'mine.yaml')

const tables: Array<[string, string[], RegExp, string]> = [
  ['status', ['status'], /host entry-0 in leeds, environment trial, alive[^]*first-token +9 +1 +2 +3[^]*retries +4/, 'GET /v1/status'],
  ['hosts', ['hosts'], /entry-0 +leeds +alive +1 +http:\/\/10\.0\.0\.1:8080/, 'GET /v1/members'],
  ['claims by state', ['claims', 'list', '--state', 'unknown', '--limit', '5'], /harrowgate +order\/1/, 'GET /v1/claims?state=unknown&limit=5'],
  ['one claim', ['claims', 'show', 'harrowgate', 'order/1'], /state +unknown/, 'GET /v1/claims/harrowgate/order%2F1'],
  ['a resolved claim', ['claims', 'resolve', 'harrowgate', 'k', '--outcome', 'not-run'], /resolved as not-run/,
    'POST /v1/claims/harrowgate/k/resolution'],
  ['the quarantine', ['quarantine', 'list'], /f1 +harrowgate +k +quarantined +5/, 'GET /v1/quarantine'],
  ['a released fingerprint', ['quarantine', 'release', 'f1'], /released f1/, 'DELETE /v1/quarantine/f1'],
  ['a drained host', ['drain'], /entry-0 is leaving/, 'POST /v1/drain'],
  ['the history', ['config', 'history'], /REVISION +AUTHOR/, 'GET /v1/configuration/history']
]
for (const [title, words, pattern, call] of tables) {
  test(`should show ${title} to people, and as JSON to programs`, async () => {
    instance.accept(BASE, 'first')
    const human = await run(words)
    assert.is(human.code, ExitCode.Done, human.errors)
    assert.match(human.output, pattern)
    assert.is(instance.calls[0], call)
    const json = await run(['--json', ...words])
    assert.is(json.code, ExitCode.Done)
    assert.type(JSON.parse(json.output), 'object')
  })
}

const wrong: Array<[string, string[], ExitCode, RegExp]> = [
  ['no command', [], ExitCode.BadUsage, /No command is given/],
  ['an unknown command', ['config', 'remove'], ExitCode.BadUsage, /no such command/],
  ['a missing file name', ['config', 'apply'], ExitCode.BadUsage, /missing required args/],
  ['an unknown option', ['status', '--fast'], ExitCode.BadUsage, /Unknown option/],
  ['an unknown outcome', ['claims', 'resolve', 'w', 'k', '--outcome', 'maybe'], ExitCode.BadUsage, /--outcome ran/],
  ['a promotion without environments', ['config', 'promote'], ExitCode.BadUsage, /Give --from and --to/],
  ['a drain of several instances', ['drain', '--address', 'http://a:1,http://b:1'], ExitCode.BadUsage, /one instance/],
  ['an address that is no URL', ['status', '--address', 'entry-0'], ExitCode.BadUsage, /"entry-0" is no URL/],
  ['a token of digits as a flag', ['status', '--token', '007'], ExitCode.BadUsage, /digits alone/],
  ['a wrong token', ['status', '--token', 'other'], ExitCode.Failed, /Wrong token\. Set it/],
  ['a file that is not there', ['config', 'validate', 'nowhere.yaml'], ExitCode.Failed, /"nowhere.yaml" cannot be read \(ENOENT\)/],
  ['an instance that is not there', ['status', '--address', UNUSED_ADDRESS], ExitCode.Failed, /No answer from http:\/\/127/]
]
for (const [title, words, code, pattern] of wrong) {
  test(`should end with its exit code and a remedy at ${title}`, async () => {
    const ended = await run(words)
    assert.is(ended.code, code, ended.errors)
    assert.match(ended.errors, pattern)
    assert.is(ended.output, '')
  })
}

test('should refuse a wrong document with the path of the field, and send nothing', async () => {
  const refused = await run(['config', 'apply', join(folder, 'wrong.yaml'), '--json'])
  assert.is(refused.code, ExitCode.Failed)
  assert.match(refused.errors, /workspaces\.0\.shares: there is no such field/)
  assert.is(JSON.parse(refused.output).faults[0].path, 'workspaces.0.shares')
  assert.equal(instance.calls, [])
})

test('should try the addresses in order', async () => {
  instance.accept(BASE, 'first')
  const shown = await run(['config', 'show', '--address', `${UNUSED_ADDRESS},${instance.address}/`])
  assert.is(shown.output, BASE)
})

test('should send a change whose answers were lost again with the same token, and have it accepted once', async () => {
  instance.answersToDrop = 2
  const applied = await run(['config', 'apply', mine()])
  assert.is(applied.code, ExitCode.Done, applied.errors)
  assert.is(instance.changeTokens.length, 3)
  assert.is(new Set(instance.changeTokens).size, 1)
  assert.is(instance.changes.length, 1)
  const again = await run(['config', 'apply', mine()])
  assert.match(again.output, /revision 1 already in force/)
})

for (const [title, words, prepare] of [
  ['while it is sent', [], () => { instance.competingSource = THEIRS }],
  ['after the revision it was made from', ['--expected-revision', '1'], () => { instance.accept(THEIRS, 'rival') }]
] as Array<[string, string[], () => void]>) {
  test(`should show both changes against their common base when another is accepted ${title}`, async () => {
    instance.accept(BASE, 'first')
    prepare()
    const conflict = await run(['config', 'apply', mine(), ...words])
    assert.is(conflict.code, ExitCode.Conflict, conflict.errors)
    assert.match(conflict.errors, /their change, revision 2[^]*-.*0\.8\n\+.*0\.5/)
    assert.match(conflict.errors, /your change, not accepted[^]*-.*share: 2[^]*\+.*share: 3/)
    assert.is(instance.changes.length, 2)
  })
}

test('should show a conflict although the history no longer holds the base', async () => {
  instance.accept(BASE, 'first')
  instance.accept(THEIRS, 'rival')
  instance.hasPrunedHistory = true
  const conflict = await run(['config', 'apply', mine(), '--expected-revision', '1'])
  assert.is(conflict.code, ExitCode.Conflict, conflict.errors)
})

test('should wait until every instance has the revision, and name those that lag', async () => {
  const applied = await run(['config', 'apply', mine(), '--wait'])
  assert.match(applied.output, /in force on 2 instances: entry-0, entry-1/)
  instance.lagging = ['entry-1']
  writeFileSync(mine(), THEIRS)
  const waited = await run(['config', 'apply', mine(), '--wait', '--wait-seconds', '0'])
  assert.is(waited.code, ExitCode.NotInForceEverywhere)
  assert.match(waited.errors, /Revision 2 is accepted but not yet in force on entry-1 \(revision 1\)/)
})

test('should promote the very bytes that were tried, and only those asked for', async () => {
  instance.accept(THEIRS, 'first')
  const words = ['config', 'promote', '--from', instance.address, '--to', second.address]
  const other = await run([...words, '--digest', digestOf(BASE)])
  assert.is(other.code, ExitCode.Failed)
  assert.is(second.changes.length, 0)
  const promoted = await run(words)
  assert.is(promoted.code, ExitCode.Done, promoted.errors)
  assert.is(second.changes[0]?.source, THEIRS)
  assert.equal(second.bodies.at(-1)?.promotedFrom, { environment: 'trial', revision: 1, digest: digestOf(THEIRS) })
})

test('should refuse to promote a document whose bytes do not match their digest', async () => {
  instance.accept(THEIRS, 'first')
  Object.assign(instance.changes[0] as object, { source: `${THEIRS} ` })
  const refused = await run(['config', 'promote', '--from', instance.address, '--to', second.address])
  assert.is(refused.code, ExitCode.Failed)
  assert.is(second.changes.length, 0)
})

test('should show what a document would change', async () => {
  instance.accept(BASE, 'first')
  const difference = await run(['config', 'diff', mine()])
  assert.match(difference.output, /^--- revision 1\n\+\+\+ .*\n@@ -\d+ \+\d+ @@\n/)
  assert.is(difference.output.split('\n').filter(line => /^[-+] /.test(line)).length, 2)
})

test.run()

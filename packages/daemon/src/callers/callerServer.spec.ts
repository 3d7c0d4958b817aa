import { createHash } from 'node:crypto'
import { readFileSync } from 'node:fs'
import net from 'node:net'
import fc from 'fast-check'
import got, { type OptionsInit } from 'got'
import { Result } from 'true-myth'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { MemberTable, RefusalError, SeededRandom, type Claim, type ClaimReply, type ConfigurationDocument, type Member } from '@wasabihead/coordination'
import { checkSource } from '../configuration/configurationController.js'
import { SystemClock } from '../instance/clock.js'
import { RequestAdmission, type AcceptedRequest, type ModelAnswer } from '../serving/index.js'
import { Logger, Metrics } from '../telemetry/index.js'
import { CallerServer, RequestLookup, RequestReader } from './index.js'

const TOKENS = { harrowgate: 'change-me-harrowgate', trent: 'change-me-trent' }
const EXAMPLE = readFileSync(new URL('../../../../examples/document.yaml', import.meta.url), 'utf8')
const WHOLE = EXAMPLE.replace('maximumPromptBytes: 2000000', 'maximumPromptBytes: 100').replace('maximumConcurrent: 64', 'maximumConcurrent: 1')
const answer = { text: 'hello', weightVersion: 'v1', promptTokens: 3, tokenCount: 1, cachedTokens: 0, importedBlocks: 0 } as ModelAnswer

let server: CallerServer
let address: string
let document: ConfigurationDocument | undefined
let ran: AcceptedRequest[]
let find: (workspace: string, key: string) => Promise<ClaimReply>
let runModel: (request: AcceptedRequest, signal: AbortSignal) => Promise<Result<ModelAnswer, RefusalError>>

function member (host: string, state: Member['state']): Member {
  const addresses = { peerAddress: `http://${host}:8082`, callerAddress: `http://${host}:8080` }
  return { host, incarnation: 1, version: 1, dataCentre: 'leeds', ...addresses, state, configurationRevision: 1 }
}

test.before.each(async () => {
  document = checkSource(WHOLE).unwrapOr(undefined as unknown as ConfigurationDocument)
  ran = []
  runModel = async () => Result.ok(answer)
  const members = new MemberTable(member('entry-0', 'alive'))
  members.merge(member('entry-1', 'alive'), 0)
  members.merge(member('entry-2', 'leaving'), 0)
  const keep = async (request: AcceptedRequest) => {
    ran.push(request)
    return Result.ok({ status: 200, body: '{"kept":true}' }) as Result<{ status: number, body: string }, RefusalError>
  }
  server = new CallerServer({
    reader: new RequestReader(() => document),
    models: {
      run: async (request, deliver, signal) => {
        ran.push(request)
        deliver({ sequence: 0, text: 'hel' })
        return await runModel(request, signal)
      }
    },
    services: { callWithRetries: keep },
    claimed: { run: keep },
    lookup: new RequestLookup(async (workspace, key) => await find(workspace, key)),
    members,
    admission: new RequestAdmission(8, new SeededRandom(1), new SystemClock()),
    clock: new SystemClock(),
    metrics: new Metrics(),
    logger: new Logger('entry-0', 'error')
  }, { headers: 200, request: 400, check: 20, leavingGrace: 0 })
  address = `http://127.0.0.1:${await server.start('127.0.0.1', 0)}`
})
test.after.each(async () => { await server.stop() })

async function send (path: string, options: OptionsInit = {}) {
  const response = await got(address + path, {
    method: 'POST',
    retry: { limit: 0 },
    throwHttpErrors: false,
    ...options,
    headers: { authorization: `Bearer ${TOKENS.harrowgate}`, ...options.headers }
  } as OptionsInit) as unknown as { statusCode: number, body: string, headers: Record<string, string> }
  return { status: response.statusCode, text: response.body, headers: response.headers }
}

async function sendRaw (bytes: string): Promise<string> {
  const socket = net.connect(Number(new URL(address).port), '127.0.0.1')
  socket.write(bytes)
  let text = ''
  for await (const chunk of socket) text += String(chunk)
  return text
}

const CHECK = { kind: 'rulebook-check', prompt: 'May I?' }
const trent = { headers: { authorization: `Bearer ${TOKENS.trent}` } }
const refused: Array<[string, string, OptionsInit, number, string]> = [
  ['no token', '/v1/completions', { headers: { authorization: '' }, json: CHECK }, 401, 'unauthorized'],
  ['a wrong token', '/v1/completions', { headers: { authorization: 'Bearer x' }, json: CHECK }, 401, 'unauthorized'],
  ['a digest for a token', '/v1/completions',
    { headers: { authorization: `Bearer ${createHash('sha256').update(TOKENS.trent).digest('hex')}` }, json: CHECK }, 401, 'unauthorized'],
  ['malformed JSON', '/v1/completions', { body: '{"kind":', headers: { 'content-type': 'application/json' } }, 400, 'invalid-request'],
  ['JSON nested without end', '/v1/calls/checklist-lookup',
    { body: `{"a":${'['.repeat(200_000)}${']'.repeat(200_000)}}`, headers: { 'content-type': 'application/json' } }, 400, 'invalid-request'],
  ['JSON that is no object', '/v1/completions', { json: [1] }, 400, 'invalid-request'],
  ['an empty body', '/v1/completions', {}, 400, 'invalid-request'],
  ['an unknown field', '/v1/completions', { json: { ...CHECK, temperature: 1 } }, 400, 'invalid-request'],
  ['too many answer tokens', '/v1/completions', { json: { ...CHECK, max_tokens: 1e9 } }, 400, 'invalid-request'],
  ['another model', '/v1/completions', { json: { ...CHECK, model: 'other' } }, 400, 'invalid-request'],
  ['an unknown kind', '/v1/completions', { json: { ...CHECK, kind: 'constructor' } }, 404, 'unknown-kind'],
  ['a service\'s kind as completion', '/v1/completions', { json: { ...CHECK, kind: 'uniform-order' } }, 404, 'unknown-kind'],
  ['a model\'s kind as call', '/v1/calls/rulebook-check', { json: {} }, 404, 'unknown-kind'],
  ['a kind of other workspaces', '/v1/calls/uniform-order', { json: {}, ...trent }, 404, 'unknown-kind'],
  ['an over-long prompt', '/v1/completions', { json: { ...CHECK, prompt: 'x'.repeat(101) } }, 413, 'body-too-large'],
  ['an over-long body', '/v1/completions', { json: { ...CHECK, prompt: 'x'.repeat(5_000_000) } }, 413, 'body-too-large'],
  ['a malformed key', '/v1/calls/uniform-order', { json: {}, headers: { 'idempotency-key': 'x'.repeat(256) } }, 400, 'invalid-request'],
  ['large headers', '/v1/completions', { json: CHECK, headers: { extra: 'x'.repeat(20_000) } }, 431, 'headers-too-large'],
  ['messages without content', '/v1/chat/completions', { json: { kind: 'rulebook-check', messages: [{ role: 'user' }] } }, 400, 'invalid-request'],
  ['an unknown path', '/v2/completions', { json: CHECK }, 404, 'not-found'],
  ['another method', '/v1/completions', { method: 'PATCH', json: CHECK }, 404, 'not-found']
]
for (const [title, path, options, status, kind] of refused) {
  test(`should refuse ${title}, say that nothing ran, and run nothing`, async () => {
    const response = await send(path, options)
    assert.is(response.status, status, response.text)
    const { error } = JSON.parse(response.text)
    assert.is(error.type, kind)
    assert.is(error.notRun, true)
    assert.ok(error.remedy.length > 0)
    assert.equal(ran, [])
  })
}

test('should refuse a body that arrives too slowly', async () => {
  const text = await sendRaw('POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: 100\r\n' +
    `authorization: Bearer ${TOKENS.harrowgate}\r\n\r\n{"kind":`)
  assert.match(text, /^HTTP\/1\.1 408 [^]*"type":"body-too-slow"[^]*"notRun":true/)
  assert.equal(ran, [])
})

test('should give a retry delay while no document is in force', async () => {
  document = undefined
  const response = await send('/v1/completions', { json: CHECK })
  assert.is(response.status, 503)
  assert.is(response.headers['retry-after'], '1')
  assert.is(JSON.parse(response.text).error.retryAfterMilliseconds, 1_000)
})

test('should answer in one body, as a stream and as chat', async () => {
  const text = JSON.parse((await send('/v1/completions', { json: CHECK })).text)
  assert.is(text.choices[0].text, 'hello')
  const chat = { kind: 'rulebook-check', messages: [{ role: 'user', content: 'May I?' }] }
  assert.is(JSON.parse((await send('/v1/chat/completions', { json: chat })).text).choices[0].message.content, 'hello')
  assert.is(ran[1]?.modelInput?.prompt, 'user: May I?\nassistant:')
  const events = (await send('/v1/chat/completions', { json: { ...chat, stream: true } })).text.split('\n\n')
  assert.match(events[0] as string, /"delta":\{"content":"hel"\}/)
  assert.match(events[1] as string, /"finish_reason":"stop"/)
  assert.is(events[2], 'data: [DONE]')
})

test('should end a stream that breaks with a typed refusal', async () => {
  runModel = async () => Result.err(new RefusalError('no-replica', 503, 'unknown', 'None', 'Retry', 50))
  const events = (await send('/v1/completions', { json: { ...CHECK, stream: true } })).text.split('\n\n')
  assert.match(events[1] as string, /"error":\{"type":"no-replica".*"notRun":"unknown","retryAfterMilliseconds":50/)
})

test('should run no more of a workspace at once than its limit, and the next when one has ended', async () => {
  let finish: () => void = () => {}
  const begun = new Promise<void>(resolve => {
    runModel = async () => {
      resolve()
      await new Promise<void>(resolve => { finish = resolve })
      return Result.ok(answer)
    }
  })
  const first = send('/v1/completions', { json: CHECK })
  await begun
  runModel = async () => Result.ok(answer)
  const second = send('/v1/completions', { json: CHECK })
  await send('/v1/hosts')
  assert.is(ran.length, 1)
  finish()
  assert.equal([(await first).status, (await second).status, ran.length], [200, 200, 2])
})

test('should refuse at once a request that would miss its deadline, with a retry delay', async () => {
  for (const kind of document?.kinds ?? []) kind.deadlineMilliseconds = 1
  const refused = await send('/v1/completions', { json: CHECK })
  const { error } = JSON.parse(refused.text)
  assert.equal([refused.status, error.type, error.notRun, ran.length], [429, 'overloaded', true, 0])
  assert.ok(error.retryAfterMilliseconds > 0)
})

test('should cancel an idempotent request whose caller disconnects', async () => {
  const cancelled = new Promise<void>(resolve => {
    runModel = async (_request, signal) => {
      await new Promise<void>(resolve => { signal.addEventListener('abort', () => { resolve() }) })
      resolve()
      return Result.ok(answer)
    }
  })
  const request = got.stream.post(`${address}/v1/completions`, {
    json: { ...CHECK, stream: true }, headers: { authorization: `Bearer ${TOKENS.harrowgate}` }, retry: { limit: 0 }
  })
  request.on('error', () => {})
  request.once('data', () => { request.destroy() })
  await cancelled
})

test('should list the hosts that are not leaving, and name the others once it leaves itself', async () => {
  const hosts = async () => (await got(`${address}/v1/hosts?affinity=a&model=policy`).json() as { hosts: string[] }).hosts
  assert.equal([...await hosts()].sort(), ['http://entry-0:8080', 'http://entry-1:8080'])
  server.leave()
  const response = await send('/v1/completions', { json: CHECK })
  assert.equal([response.status, response.headers.connection], [503, 'close'])
  assert.match(JSON.parse(response.text).error.remedy, 'http://entry-1:8080')
})

const claim = { kind: 'uniform-order', treatment: 'at-most-once', state: 'done', answer: { status: 201, body: '{"order":7}' } }
for (const [title, found, options, status, expected] of [
  ['a request that is done', claim, {}, 200, claim],
  ['a request whose answer is not retained', { ...claim, answer: undefined }, {}, 200, { ...claim, answer: undefined }],
  ['a request of unknown outcome', { ...claim, state: 'unknown', answer: undefined }, {}, 200, { state: 'unknown' }],
  ['another workspace\'s key', claim, trent, 404, { type: 'not-found', notRun: 'unknown' }],
  ['a key without a token', claim, { headers: { authorization: '' } }, 401, { type: 'unauthorized' }],
  ['any key while the log cannot be read', undefined, {}, 503, { type: 'service-unavailable', notRun: 'unknown', retryAfterMilliseconds: 700 }]
] as Array<[string, object | undefined, OptionsInit, number, Record<string, unknown>]>) {
  test(`should look up ${title}, and run nothing`, async () => {
    find = async (workspace, key) => {
      if (found === undefined) return { kind: 'unavailable', retryAfter: 700 }
      const isKept = workspace === 'harrowgate' && key === 'order/1'
      return { kind: 'found', claim: isKept ? { ...found, attemptToken: 'hidden', executor: 'hidden' } as unknown as Claim : undefined }
    }
    const response = await send('/v1/requests/order%2F1', { method: 'GET', ...options })
    const body = JSON.parse(response.text)
    assert.is(response.status, status, response.text)
    for (const [field, value] of Object.entries(expected)) assert.equal((body.error ?? body)[field], value)
    assert.not.match(response.text, 'hidden')
    assert.equal(ran, [])
  })
}

test('should answer any malformed input with a typed client error, and continue to serve', async () => {
  const path = fc.oneof(fc.constantFrom('/v1/completions', '/v1/chat/completions', '/v1/calls/checklist-lookup', '/v1/calls/%E0%A4%A', '//'),
    fc.webPath())
  const fields = fc.record({ kind: fc.string(), prompt: fc.anything(), max_tokens: fc.anything() })
  const body = fc.oneof(fc.json(), fc.string({ maxLength: 60 }), fields
    .map(value => JSON.stringify(value, (_, inner) => typeof inner === 'bigint' ? String(inner) : inner)))
  const headers = fc.record({
    'content-type': fc.constantFrom('application/json', 'text/plain', 'application/json; charset=nonsense'),
    'content-encoding': fc.constantFrom('identity', 'gzip', 'nonsense'),
    'idempotency-key': fc.string({ unit: 'grapheme-ascii', minLength: 1, maxLength: 10 }).map(text => `k${text.trim()}`)
  }, { requiredKeys: ['content-type'] })
  await fc.assert(fc.asyncProperty(path, body, headers, fc.constantFrom('POST', 'GET', 'PUT', 'DELETE'), async (...input) => {
    const [chosenPath, text, chosenHeaders, method] = input
    const response = await send(chosenPath, { method, headers: chosenHeaders, ...(method === 'GET' ? {} : { body: text }) } as OptionsInit)
    if (response.status < 300) return
    assert.ok(response.status >= 400 && response.status < 500, `${response.status} ${response.text}`)
    assert.is(JSON.parse(response.text).error.notRun, true)
  }), { seed: 1, numRuns: 300 })
  await fc.assert(fc.asyncProperty(fc.string({ unit: 'binary', maxLength: 80 }), async bytes => {
    const text = await sendRaw(`${bytes}\r\n\r\n`)
    assert.ok(text === '' || /^HTTP\/1\.1 4\d\d [^]*"notRun":true/.test(text), text)
  }), { seed: 1, numRuns: 50 })
  assert.is((await send('/v1/completions', { json: CHECK })).status, 200)
})

test.run()

import { readFileSync } from 'node:fs'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Claim, ConfigurationDocument } from '@wasabihead/coordination'
import { checkSource } from '../configuration/configurationController.js'
import type { AcceptedRequest } from './acceptedRequest.js'
import { completionShapeOf } from './completionShapes.js'
import type { ModelAnswer } from './modelRunner.js'
import { parseDurableRequest, serializeDurableRequest } from './durableRequest.js'

const EXAMPLE = readFileSync(new URL('../../../../examples/document.yaml', import.meta.url), 'utf8')
const document = checkSource(EXAMPLE).unwrapOr(undefined as unknown as ConfigurationDocument)
const [workspace] = document.workspaces
const answer = { text: 'hello', weightVersion: 'v1', promptTokens: 3, tokenCount: 1, cachedTokens: 0, importedBlocks: 0 } as ModelAnswer
const chatBody = '{"kind":"letter","messages":[{"role":"user","content":"May I?"}]}'

for (const [shape, body, expected] of [
  ['text', '{"kind":"letter","prompt":"May I?"}', '"text":"hello"'],
  ['chat', chatBody, '"message":{"role":"assistant","content":"hello"}']
] as const) {
  test(`should restore a recorded ${shape} completion with its model input and answer it in its shape`, () => {
    const kind = document.kinds.find(({ name }) => name === 'letter')
    const modelInput = { prompt: 'user: May I?', maximumTokens: 7, shape }
    const request = { requestId: 'r', workspace, kind, body, modelInput, idempotencyKey: 'k', receivedAt: 0, deadline: 1 } as AcceptedRequest
    const claim = { workspace: workspace?.name, kind: kind?.name, idempotencyKey: 'k', request: serializeDurableRequest(request) } as Claim
    const read = parseDurableRequest(claim, document, 0) as AcceptedRequest
    assert.equal(read.modelInput, modelInput)
    assert.match(JSON.stringify(completionShapeOf(read).whole(read, answer)), expected)
  })
}

test.run()

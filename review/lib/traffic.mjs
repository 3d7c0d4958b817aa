/** Callers that send requests at a rate, each on a new connection, and record what they got. */
import { call, LOOPBACK, sleep } from './network.mjs'

/** Sends a request to a gateway. Resolves with the answer as the caller sees it. */
export async function sendRequest (fleet, gateway, { path, attempt, method = 'POST', body = 'order', deadline = 4_000 }) {
  fleet.record(`caller sends ${method} ${path} attempt ${attempt} to ${gateway.name}`)
  const answer = await call(`${LOOPBACK}:${gateway.front}`, path, {
    method,
    body: method === 'GET' ? '' : body,
    giveUpAfter: deadline,
    headers: { Host: 'front.example', 'Api-Key': 'key-a', 'X-Wasabihead-Attempt-Id': attempt, 'X-Wasabihead-Deadline-Ms': String(deadline) }
  })
  const seal = answer.headers['x-wasabihead-server-seal']
  const end = answer.error === undefined ? '' : `, the connection ended: ${answer.error}`
  fleet.record(`caller got ${answer.status} for ${attempt} after ${answer.took} ms, seal ${seal}, ${answer.body.length} bytes${end}`)
  return { attempt, path, seal, ...answer }
}

/**
 * Sends requests to the gateways in turn until `isOver` says so, and waits for all answers.
 * @param rate requests a second
 * @param request returns the path and the method of the request with a number
 */
export async function sendAtRate (fleet, rate, request, isOver) {
  const pending = []
  const startedAt = performance.now()
  for (let number = 1; !isOver(); number++) {
    const gateway = fleet.gateways[number % fleet.gateways.length]
    pending.push(sendRequest(fleet, gateway, { attempt: `attempt-${number}`, ...request(number) }))
    await sleep(Math.max(0, startedAt + number * 1_000 / rate - performance.now()))
  }
  return await Promise.all(pending)
}

/** MIXED: a stream whose head has a wrong byte is answered 200 by the gateway itself, with the events of another replica. */
import { runCase } from '../lib/fleet.mjs'
import { GarbledReplicas } from '../lib/garbledReplicas.mjs'
import { configuration } from '../lib/replica.mjs'
import { sendAtRate } from '../lib/traffic.mjs'

const RATE = 75
const EVENTS = Array.from({ length: 13 }, (_, index) => `id: ${index + 1}\ndata: part ${index + 1}\n\n`).join('')

await runCase(import.meta.url, async fleet => {
  const replicas = new GarbledReplicas(fleet, {
    service: 'desk',
    count: 6,
    faulty: 2,
    every: 50,
    duration: 5_500,
    pause: 9_000,
    whole: (replica, { attempt }) => replica.whole(attempt, 200, EVENTS, 'text/event-stream'),
    // One byte of a header's value is wrong.
    spoil: bytes => bytes.replace('text/event-stream', 'text/event-stream\x01')
  })
  await replicas.start()
  fleet.store.put('op/config', configuration(1))
  await fleet.startGateways(3)
  const playing = replicas.play()
  const answers = await sendAtRate(fleet, RATE, number => ({ path: `/digest/${number}`, deadline: 6_000 }), () => replicas.isOver)
  await playing
  return answers
    .filter(({ status, seal }) => status >= 200 && status < 300 && seal === undefined)
    .map(({ attempt, status, body }) => `the caller got ${status} without a seal for ${attempt}, with ${body.length} bytes`)
})

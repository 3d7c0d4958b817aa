/** CONFIG: an answer whose status line has a wrong byte is never passed on or replaced; its caller waits for ever. */
import { runCase } from '../lib/fleet.mjs'
import { GarbledReplicas } from '../lib/garbledReplicas.mjs'
import { configuration } from '../lib/replica.mjs'
import { sendAtRate } from '../lib/traffic.mjs'

/** Unsafe requests a second. */
const RATE = 75
const TIMEOUT_MILLISECONDS = 1_500
const TIME_BUDGET_MILLISECONDS = 3_000
/** The rule's margin after the route's timeout. */
const MARGIN_MILLISECONDS = 500
/** The second wording of the rule wants so many requests without an answer. */
const FEWEST_UNANSWERED = 8

await runCase(import.meta.url, async fleet => {
  const replicas = new GarbledReplicas(fleet, {
    service: 'desk',
    count: 6,
    faulty: 2,
    every: 50,
    windows: 4,
    duration: 5_500,
    whole: (replica, { attempt }) => replica.whole(attempt, 200, 'done'),
    // One byte of the status line is wrong.
    spoil: bytes => bytes.replace('HTTP/1.1 200 OK', 'HTTP/1.1 200 \x01K')
  })
  await replicas.start()
  const config = configuration(1)
  for (const route of config.routes) if (route.kind === 'unsafe') route.timeout_ms = TIMEOUT_MILLISECONDS
  fleet.store.put('op/config', config)
  await fleet.startGateways(3)
  const playing = replicas.play()
  const answers = await sendAtRate(fleet, RATE, number => (
    { path: `/action/${number}`, deadline: TIME_BUDGET_MILLISECONDS }), () => replicas.isOver)
  await playing
  const late = answers.filter(({ took }) => took > TIMEOUT_MILLISECONDS)
  const unanswered = late.filter(({ status, took }) => status === 0 || took > TIMEOUT_MILLISECONDS + MARGIN_MILLISECONDS)
  fleet.record(`${late.length} requests were unanswered at the route's timeout, ${unanswered.length} of them half a second later`)
  const isBroken = unanswered.length >= FEWEST_UNANSWERED && unanswered.length > late.length / 2
  return isBroken ? unanswered.map(({ attempt, took }) => `${attempt} had no answer when its caller gave up after ${took} ms`) : []
})

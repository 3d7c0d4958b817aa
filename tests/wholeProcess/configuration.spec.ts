/** Configuration changes by operators, on daemon processes over TCP. */
import got from 'got'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { Fleet, OPERATOR_TOKEN, type RunningInstance } from '@wasabihead/experiments'

const WRONG_DIGEST = '0'.repeat(64)

async function callOperator (instance: RunningInstance, path: string, json?: object): Promise<{ status: number, body: any }> {
  const answer = await got(`${instance.addresses.operator}${path}`, {
    ...(json === undefined ? {} : { method: 'PUT', json }),
    headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
    throwHttpErrors: false,
    retry: { limit: 0 }
  })
  return { status: answer.statusCode, body: JSON.parse(answer.body) }
}

test('should accept a change once, show conflicts, keep the history and spread it to an instance that starts in an outage', async () => {
  const fleet = new Fleet()
  try {
    await fleet.start({ instances: 2, engines: 1 })
    await fleet.waitForMembers(2)
    const [first, second] = fleet.instances as [RunningInstance, RunningInstance]
    const change = { source: fleet.document(), expectedRevision: 0, author: 'operator', changeToken: 'change-1' }
    const put = async (instance: RunningInstance, more: object) =>
      await callOperator(instance, '/v1/configuration', { ...change, ...more })

    assert.is((await put(first, {})).body.revision, 1)
    assert.is((await put(second, {})).body.revision, 1, 'the same change sent again is the same revision')
    const conflict = await put(second, { changeToken: 'change-2' })
    assert.equal([conflict.status, conflict.body.current.changeToken], [409, 'change-1'])

    const tried = { environment: 'trial', revision: 7, digest: WRONG_DIGEST }
    assert.is((await put(first, { expectedRevision: 1, promotedFrom: tried })).status, 422)
    const promotedFrom = { ...tried, digest: conflict.body.current.digest }
    assert.is((await put(first, { expectedRevision: 1, changeToken: 'change-3', promotedFrom })).body.revision, 2)

    const history = await callOperator(second, '/v1/configuration/history')
    assert.equal(history.body.changes.map((record: { changeToken: string }) => record.changeToken), ['change-3', 'change-1'])
    assert.is((await callOperator(second, '/v1/configuration/history/1')).body.source, change.source)
    assert.is((await callOperator(second, '/v1/configuration/history/9')).status, 404)

    await fleet.waitForRevision(2)
    const { body } = await callOperator(first, '/v1/configuration/instances')
    assert.equal([body.revision, body.instances.length, Object.keys(body.instances[0]).sort()],
      [2, 2, ['dataCentre', 'host', 'isLagging', 'revision', 'state']])
    await fleet.setFaults(fleet.keyValue, { isDown: true })
    assert.is((await put(first, { expectedRevision: 2, changeToken: undefined })).status, 503)
    await fleet.startInstance('entry-2', [second.addresses.peer])
    await fleet.waitForRevision(2)
    await fleet.waitForMembers(3)
  } finally {
    await fleet.stop()
  }
})

test.run()

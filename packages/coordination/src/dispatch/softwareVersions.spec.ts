import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Replica } from '../catalog/index.js'
import { SoftwareVersions, type VersionRecord } from './index.js'

const RETENTION = 30_000

const replica = (softwareVersion: string, service = 's'): Replica => ({
  id: softwareVersion, service, address: '10.0.0.1:1', zone: 'z', slots: 8, isDraining: false, weightVersions: {}, softwareVersion, startedAt: 1
})
const record = (...versions: string[]): VersionRecord => ({ service: 's', versions })

interface Start {
  title: string
  isFirstRun: boolean
  /** Undefined while the store was not read. */
  records: VersionRecord[] | undefined
  listed: string[]
  isMixed: boolean
  /** The same after the retention of versions. */
  isMixedLater: boolean
}

const starts: Start[] = [
  { title: 'the version that it lists is the recorded one', isFirstRun: false, records: [record('v1')], listed: ['v1'], isMixed: false, isMixedLater: false },
  { title: 'another version is recorded', isFirstRun: false, records: [record('v1')], listed: ['v2'], isMixed: true, isMixedLater: false },
  { title: 'two versions are recorded', isFirstRun: false, records: [record('v1', 'v2')], listed: ['v2'], isMixed: true, isMixedLater: false },
  { title: 'nothing is recorded', isFirstRun: false, records: [], listed: ['v1'], isMixed: true, isMixedLater: false },
  { title: 'nothing is recorded as the fleet starts for the first time', isFirstRun: true, records: [], listed: ['v1'], isMixed: false, isMixedLater: false },
  { title: 'the store was not read yet', isFirstRun: false, records: undefined, listed: ['v1'], isMixed: true, isMixedLater: true },
  { title: 'two versions are listed', isFirstRun: false, records: [record('v1')], listed: ['v1', 'v2'], isMixed: true, isMixedLater: true }
]
for (const { title, isFirstRun, records, listed, isMixed, isMixedLater } of starts) {
  test(`should ${isMixed ? 'expect' : 'not expect'} streams of several versions after a start where ${title}`, () => {
    const versions = new SoftwareVersions(isFirstRun)
    const replicas = listed.map(version => replica(version))
    if (records !== undefined) versions.applyRecords(records, replicas, 0)
    assert.equal([0, RETENTION + 1].map(now => versions.isMixed('s', replicas, now)), [isMixed, isMixedLater])
  })
}

test('should record a version as long as callers may have streams of it', () => {
  const versions = new SoftwareVersions(true)
  versions.applyRecords([], [replica('v1')], 0)
  assert.equal(versions.unwrittenRecords([replica('v1')], 0), [record('v1')])
  versions.applyRecords([record('v1')], [replica('v1')], 100)
  assert.equal(versions.unwrittenRecords([replica('v1')], 100), [])
  versions.onRemoved(replica('v1'), 200)
  assert.equal(versions.unwrittenRecords([replica('v2')], 200), [record('v1', 'v2')])
  versions.applyRecords([record('v1', 'v2')], [replica('v2')], 300)
  assert.equal([RETENTION + 200, RETENTION + 301].map(now => versions.unwrittenRecords([replica('v2')], now)), [[], [record('v2')]])
})

test('should record again what an older copy of the store lacks, and not what it alone has', () => {
  const versions = new SoftwareVersions(true)
  versions.applyRecords([record('v2', 'v3')], [replica('v3')], 0)
  versions.applyRecords([record('v3')], [replica('v3')], RETENTION + 1)
  versions.applyRecords([record('v1')], [replica('v3')], RETENTION + 2)
  assert.equal(versions.unwrittenRecords([replica('v3')], RETENTION + 2), [record('v1', 'v3')])
  assert.equal(versions.unwrittenRecords([replica('v3')], 2 * RETENTION + 3), [record('v3')])
})

test.run()

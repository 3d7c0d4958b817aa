/** Tests which cache spaces count as unused after the sharing groups have changed. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ServiceCatalog, type CatalogListing } from '../catalog/index.js'
import type { FrontRecord } from '../fronts/index.js'
import { saltOf, StaleSpaces } from './index.js'

const FREE_AFTER = 13_000
const CHANGED_AT = 1_000

function listingOf (revision: number, isIsolated: boolean): CatalogListing {
  const workspaces = [{ name: 'a', keys: [], isIsolated }, { name: 'b', keys: [], isIsolated: false }]
  const limits = { maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeout: 1, idleTimeout: 1 }
  return {
    configuration: { revision, value: { version: revision, routes: [], services: [], workspaces, limits } },
    replicas: [],
    weightVersions: []
  }
}

const current: Partial<FrontRecord> = { knowsSharingGroups: true }
const cases: {
  title: string, group?: string, at?: number, listedAt?: number, peers?: Partial<FrontRecord>[], isUnused: boolean
}[] = [
  { title: 'all shared before', isUnused: true },
  { title: 'all shared before, among instances of this build', peers: [current, current], isUnused: true },
  { title: 'all shared before, beside an older build', peers: [current, {}], isUnused: false },
  { title: 'all shared until just now', at: CHANGED_AT + FREE_AFTER - 1, isUnused: false },
  { title: 'all shared before, where the catalog may be behind', listedAt: CHANGED_AT + FREE_AFTER - 1_001, isUnused: false },
  { title: 'is that of the isolated workspace', group: 'a', isUnused: false },
  { title: 'is that of a workspace that is not isolated', group: 'b', isUnused: true }
]
for (const { title, group = '', at = CHANGED_AT + FREE_AFTER, listedAt = at, peers = [], isUnused } of cases) {
  test(`should ${isUnused ? '' : 'not '}free the parts of a group that ${title}`, () => {
    const catalog = new ServiceCatalog({ returnGrace: 0, longestGap: 60_000 })
    catalog.applyListing(listingOf(1, false), 0, 0)
    catalog.applyListing(listingOf(2, true), CHANGED_AT, CHANGED_AT)
    catalog.applyListing(listingOf(2, true), listedAt, listedAt)
    const spaces = new StaleSpaces(catalog, { freeAfter: FREE_AFTER })
    const salt = saltOf({ group, model: 'model-a', weightVersion: 1 })
    assert.is(spaces.hasUnusedGroup(salt, peers as FrontRecord[], at), isUnused)
    assert.is(spaces.hasReplacedWeights(salt, at), false)
  })
}

test('should judge no foreign salts', () => {
  const catalog = new ServiceCatalog({ returnGrace: 0, longestGap: 60_000 })
  catalog.applyListing(listingOf(1, true), 0, 0)
  const spaces = new StaleSpaces(catalog, { freeAfter: FREE_AFTER })
  for (const salt of ['', 'of others', 'x/%/1']) assert.is(spaces.hasUnusedGroup(salt, [], FREE_AFTER), false)
})

test.run()

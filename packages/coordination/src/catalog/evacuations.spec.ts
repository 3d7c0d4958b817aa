import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { catalogListingSchema, ServiceCatalog, type CatalogListing, type Revised } from './index.js'

const SETTINGS = { returnGrace: 2_500, longestGap: 3_600 }
const entry = (revision: number, era?: number, value = 'z'): Revised<string> => ({ era, revision, value })
const listing = (evacuations: Revised<string>[] | undefined, era?: number): CatalogListing => (
  { era, replicas: [], weightVersions: [], evacuations })

interface Read {
  evacuations: Revised<string>[] | undefined
  era?: number
  /** Whether a peer sent it rather than the store. */
  isPeers?: boolean
}

const cases: { title: string, reads: Read[], changes: string[], isEvacuated: boolean }[] = [
  { title: 'an entry of the store', reads: [{ evacuations: [entry(1)] }], changes: ['data-centre-evacuated'], isEvacuated: true },
  {
    title: 'an entry that is removed',
    reads: [{ evacuations: [entry(1)] }, { evacuations: [] }],
    changes: ['data-centre-evacuated', 'data-centre-restored'],
    isEvacuated: false
  },
  // An instance that starts while the store is unavailable knows only what its peers send.
  {
    title: 'an entry that a peer sent',
    reads: [{ evacuations: [entry(1)], isPeers: true }],
    changes: ['data-centre-evacuated'],
    isEvacuated: true
  },
  {
    title: 'a peer of a build that knows no evacuations',
    reads: [{ evacuations: [entry(1)] }, { evacuations: undefined, isPeers: true }],
    changes: ['data-centre-evacuated'],
    isEvacuated: true
  },
  {
    title: 'a peer that has not read of the end yet',
    reads: [{ evacuations: [entry(1)] }, { evacuations: [] }, { evacuations: [entry(1)], isPeers: true }],
    changes: ['data-centre-evacuated', 'data-centre-restored'],
    isEvacuated: false
  },
  {
    title: 'a second evacuation that a peer sent',
    reads: [{ evacuations: [entry(1)] }, { evacuations: [] }, { evacuations: [entry(3)], isPeers: true }],
    changes: ['data-centre-evacuated', 'data-centre-restored', 'data-centre-evacuated'],
    isEvacuated: true
  },
  // The operators did not remove what the store lost.
  {
    title: 'a store that came back from a copy without the entry',
    reads: [{ evacuations: [entry(5, 1)], era: 1 }, { evacuations: [], era: 2 }, { evacuations: [], era: 2 }],
    changes: ['data-centre-evacuated'],
    isEvacuated: true
  },
  {
    title: 'an entry that was written again and removed after such a return',
    reads: [
      { evacuations: [entry(5, 1)], era: 1 },
      { evacuations: [], era: 2 },
      { evacuations: [entry(2, 2)], era: 2 },
      { evacuations: [], era: 2 }
    ],
    changes: ['data-centre-evacuated', 'data-centre-restored'],
    isEvacuated: false
  }
]
for (const { title, reads, changes, isEvacuated } of cases) {
  test(`should apply ${title}`, () => {
    const catalog = new ServiceCatalog(SETTINGS)
    const seen = reads.flatMap(({ evacuations, era, isPeers = false }, index) => (
      isPeers
        ? catalog.applyPeerListing(listing(evacuations, era), index, index)
        : catalog.applyListing(listing(evacuations, era), index, index)))
    assert.equal(seen.map(({ kind }) => kind), changes)
    assert.is(catalog.isEvacuated('z'), isEvacuated)
    assert.is(catalog.isEvacuated('other'), false)
  })
}

test('should pass evacuations on to an instance that starts', () => {
  const catalog = new ServiceCatalog(SETTINGS)
  catalog.applyListing(listing([entry(1)]), 0, 0)
  const starting = new ServiceCatalog(SETTINGS)
  starting.applyPeerListing(catalogListingSchema.parse(JSON.parse(JSON.stringify(catalog.listing(1)))), 1, 1)
  assert.ok(starting.isEvacuated('z'))
})

test.run()

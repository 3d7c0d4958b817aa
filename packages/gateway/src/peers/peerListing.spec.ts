import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { requestPeerListing } from './peerListing.js'

const TIMEOUT = 200
const DRIBBLE_INTERVAL = 20

// Regression: a peer that sent a byte from time to time kept the request open without a limit, and no other peer was tried.
const answers: { title: string, piece: string, gap: number }[] = [
  { title: 'arrives byte by byte', piece: ' ', gap: DRIBBLE_INTERVAL },
  { title: 'does not end', piece: ' '.repeat(1_000_000), gap: 0 }
]
for (const { title, piece, gap } of answers) {
  test(`should abort the request to a peer whose listing ${title}`, async () => {
    const server = http.createServer((_request, response) => {
      const timer = setInterval(() => { response.write(piece) }, gap)
      response.once('close', () => { clearInterval(timer) })
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    let failure: unknown
    await requestPeerListing(`127.0.0.1:${(server.address() as AddressInfo).port}`, TIMEOUT).catch((error: unknown) => { failure = error })
    assert.instance(failure, Error)
    await new Promise<void>(resolve => { server.close(() => { resolve() }) })
  })
}

test.run()

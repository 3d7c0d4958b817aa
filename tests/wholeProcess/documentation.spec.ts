/** Checks that the documentation agrees with the code. */
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { REFUSAL_KINDS } from '@wasabihead/coordination'
import { proofs } from '../promises/index.js'

const ROOT = fileURLToPath(new URL('../../../', import.meta.url))
const PAGES = ['README.md', ...readdirSync(join(ROOT, 'docs'), { recursive: true }).map(name => `docs/${String(name)}`)]
  .filter(name => name.endsWith('.md'))

test('should list every refusal in the callers\' page, and no other', () => {
  const page = readFileSync(join(ROOT, 'docs/callers.md'), 'utf8')
  const cells = [...page.matchAll(/^\| \d{3} \| (`.*?`) \|/gm)].map(([, names]) => names as string)
  const listed = cells.flatMap(names => [...names.matchAll(/`([a-z-]+)`/g)]).map(([, name]) => name)
  assert.equal([...new Set(listed)].sort(), [...REFUSAL_KINDS].sort())
})

test('should name every proof in the page of promises', () => {
  const page = readFileSync(join(ROOT, 'docs/promises.md'), 'utf8')
  assert.equal(proofs.map(({ name }) => name).filter(name => !page.includes(`\`${name}\``)), [])
})

for (const page of PAGES) {
  test(`should link from ${page} only to what exists`, () => {
    const text = readFileSync(join(ROOT, page), 'utf8')
    const links = [...text.matchAll(/\]\(([^)#]+)(?:#[^)]*)?\)/g)].map(([, target]) => target as string)
    const missing = links.filter(target => !target.includes('://') && !existsSync(join(ROOT, dirname(page), target)))
    assert.equal(missing, [])
  })
}

test.run()

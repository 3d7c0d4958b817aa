/** Checks that the committed generated code is what the generator produces from the current protocol files. */
import { execFileSync } from 'node:child_process'
import { mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const GENERATED_FOLDER = 'packages/daemon/src/peers/gen'

function readTree (folder) {
  const files = readdirSync(folder, { recursive: true, withFileTypes: true }).filter(entry => entry.isFile())
  return files.map(entry => {
    const path = join(entry.parentPath ?? entry.path, entry.name)
    return [path.slice(folder.length + 1), readFileSync(path, 'utf8')]
  }).sort(([left], [right]) => left < right ? -1 : 1)
}

const temporaryFolder = mkdtempSync(join(tmpdir(), 'wasabihead-generated-'))
try {
  execFileSync('npx', ['buf', 'generate', '--output', temporaryFolder], { stdio: 'inherit' })
  const generated = JSON.stringify(readTree(join(temporaryFolder, GENERATED_FOLDER)))
  if (generated !== JSON.stringify(readTree(GENERATED_FOLDER))) {
    console.error('The generated code differs from the protocol files. Run "npm run generate" and commit the result.')
    process.exitCode = 1
  } else {
    console.log('generated code is up to date')
  }
} finally {
  rmSync(temporaryFolder, { recursive: true, force: true })
}

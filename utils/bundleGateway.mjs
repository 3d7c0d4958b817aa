/** Bundles the gateway and its platform adapter into target/gateway.mjs, or another file: one file starts faster than many. */
import { build } from 'esbuild'

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: process.argv[2] ?? 'target/gateway.mjs',
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Some bundled libraries are CommonJS and require built-in modules at run time, which an ES module does not support.
  banner: { js: 'import { createRequire as createRequireOfBundle } from "node:module"; const require = createRequireOfBundle(import.meta.url);' },
  alias: {
    '@wasabihead/coordination': './packages/coordination/src/index.ts',
    '@wasabihead/http': './packages/http/src/index.ts',
    '@wasabihead/gateway': './packages/gateway/src/index.ts'
  }
})

/**
 * Builds the one file that runs on the platform.
 */
import { build } from 'esbuild'

await build({
  entryPoints: ['platform/dist/src/main.js'],
  outfile: 'target/dragonflylever.mjs',
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // jsonc-parser's main entry loads its parts by computed names, which no bundler follows.
  mainFields: ['module', 'main'],
  // Libraries in CommonJS call require for Node's own modules.
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" }
})

/**
 * Builds the one file that runs on the platform.
 */
import { build } from 'esbuild'

const { metafile } = await build({
  entryPoints: ['platform/dist/src/main.js'],
  outfile: 'target/dragonflylever.mjs',
  bundle: true,
  metafile: true,
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

const sizes = new Map()
for (const [file, { bytesInOutput }] of Object.entries(Object.values(metafile.outputs)[0].inputs)) {
  const name = /node_modules\/((?:@[^/]+\/)?[^/]+)/.exec(file)?.[1] ?? 'own code'
  sizes.set(name, (sizes.get(name) ?? 0) + bytesInOutput)
}
for (const [name, bytes] of [...sizes].sort((a, b) => b[1] - a[1]).slice(0, 12)) console.log(`${Math.round(bytes / 1024)} KiB  ${name}`)

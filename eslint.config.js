import neostandard from 'neostandard'

import { verbRule } from './tools/verbRule.js'

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'node_modules/**', 'target/**', 'journal/**'] }),
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    plugins: { dragonflylever: { rules: { verb: verbRule } } },
    rules: { 'dragonflylever/verb': 'error', 'no-void': 'off', 'no-console': 'error', '@typescript-eslint/no-redeclare': 'off' }
  },
  {
    files: ['packages/cli/**/*.ts', 'packages/bench/**/*.ts', 'packages/*/src/main.ts', 'tools/**/*.js'],
    rules: { 'no-console': 'off' }
  }
]

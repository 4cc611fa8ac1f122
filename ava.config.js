export default {
  // The files of avaAlone.config.js run after the others.
  files: ['packages/*/dist/test/**/*.test.js', 'platform/dist/test/**/*.test.js', '!platform/dist/test/clientsOutsideLimits.test.js'],
  timeout: '120s',
  concurrency: 5
}

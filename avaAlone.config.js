export default {
  files: ['platform/dist/test/clientsOutsideLimits.test.js'],
  timeout: '120s',
  concurrency: 1
}

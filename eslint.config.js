import neostandard from 'neostandard'

const wholeProgramPackages = ['koa', '@koa/*', 'got', 'winston', 'cac', '@connectrpc/*', 'hdr-histogram-js', 'yaml']

/** Each entry: the files, and what they may not import. The folders' README.md files say the same in words. */
const importBoundaries = [
  {
    files: ['packages/coordination/src/**/*.ts'],
    ignores: ['**/*.spec.ts'],
    rules: {
      'no-restricted-imports': ['error', {
        paths: ['node:fs', 'node:net', 'node:http', 'node:timers', 'node:child_process', 'node:dgram']
          .map(name => ({ name, message: 'The decisions do no I/O; return an effect instead.' })),
        patterns: [
          { group: ['@wasabihead/*', ...wholeProgramPackages], message: 'The library imports no daemon and no I/O.' },
          { group: ['../*/*', '!../*/index.js'], message: 'Slices see each other only through index.ts.' }
        ]
      }],
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate', 'fetch'],
      'no-restricted-properties': ['error',
        { object: 'Date', property: 'now', message: 'Present time is an argument.' },
        { object: 'performance', property: 'now', message: 'Present time is an argument.' },
        { object: 'Math', property: 'random', message: 'Use SeededRandom, passed in.' }
      ]
    }
  },
  {
    files: ['packages/daemon/src/**/*.ts', 'packages/cli/src/**/*.ts'],
    ignores: ['**/*.spec.ts'],
    rules: {
      'no-restricted-imports': ['error', {
        paths: ['node:child_process', 'node:cluster', 'node:worker_threads']
          .map(name => ({ name, message: 'A process starts no other process and keeps to one thread.' })),
        patterns: [{ group: ['@wasabihead/standins', '@wasabihead/experiments', '@wasabihead/tests'], message: 'Stand-ins are for tests only.' }]
      }]
    }
  },
  {
    files: ['packages/http/src/**/*.ts'],
    ignores: ['**/*.spec.ts'],
    rules: {
      'no-restricted-imports': ['error', {
        patterns: [{ group: ['@wasabihead/*', '!@wasabihead/coordination'], message: 'The servers of all programs share this package.' }]
      }]
    }
  },
  {
    files: ['packages/gateway/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['**/*.spec.ts'],
    rules: {
      'no-restricted-imports': ['error', {
        paths: ['node:child_process', 'node:cluster', 'node:worker_threads']
          .map(name => ({ name, message: 'A process starts no other process and keeps to one thread.' })),
        patterns: [{
          group: ['@wasabihead/standins', '@wasabihead/experiments', '@wasabihead/tests', '@wasabihead/daemon', '@wasabihead/cli'],
          message: 'The gateway knows the library alone, and the adapter knows the gateway.'
        }]
      }]
    }
  },
  {
    files: ['packages/{gateway,coordination}/src/**/*.ts'],
    ignores: ['**/*.spec.ts'],
    rules: {
      'no-restricted-syntax': ['error', {
        selector: 'Literal[value=/x-wasabihead-|api-key|\\bkv-|^op\\/|^servers\\//i]',
        message: 'Names on the users\' platform are decoded in platform/.'
      }]
    }
  },
  {
    files: ['packages/standins/src/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', {
        patterns: [{ group: ['@wasabihead/*'], message: 'Stand-ins know the wire, not our code.' }]
      }]
    }
  }
]

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', '**/gen/**', 'node_modules/**', 'target/**'] }),
  { rules: { '@stylistic/max-len': ['error', { code: 130, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true }] } },
  ...importBoundaries
]

import { readFileSync } from 'node:fs'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { describeSettings, readSettings } from './index.js'

const SECRET = 'short-secret'
const WHOLE = {
  WASABIHEAD_HOST: 'entry-1',
  WASABIHEAD_DATA_CENTRE: 'leeds',
  WASABIHEAD_ENVIRONMENT: 'trial',
  WASABIHEAD_KEY_VALUE_ADDRESS: 'http://10.0.0.1:2379',
  WASABIHEAD_HOST_LIST_ADDRESS: 'http://10.0.0.2:80',
  WASABIHEAD_OPERATOR_TOKEN_DIGEST: '1'.repeat(64),
  WASABIHEAD_WORKSPACE_SECRET: '0000000000000000'
}

function read (flags: string[], environment: Record<string, string | undefined>) {
  return readSettings(flags, { ...WHOLE, ...environment }).mapErr(error => error.message)
}

const taken: Array<[string, string[], Record<string, string>, Record<string, unknown>]> = [
  ['a default', [], {}, { callerPort: 8080, logLevel: 'info', bindAddress: '127.0.0.1' }],
  ['a variable', [], { WASABIHEAD_CALLER_PORT: '9000' }, { callerPort: 9000 }],
  ['a flag before a variable', ['--caller-port', '9001'], { WASABIHEAD_CALLER_PORT: '9000' }, { callerPort: 9001 }],
  ['a flag with an equals sign', ['--caller-port=9001'], {}, { callerPort: 9001 }],
  ['digits of a digest as text', ['--operator-token-digest', '2'.repeat(64)], {}, { operatorTokenDigest: '2'.repeat(64) }],
  ['digits of a secret as text', [], {}, { workspaceSecret: '0000000000000000' }]
]
for (const [title, flags, environment, expected] of taken) {
  test(`should take ${title}`, () => {
    const settings = read(flags, environment).unwrapOrElse(message => { throw new Error(message) })
    assert.is(settings.kind, 'run')
    for (const [name, value] of Object.entries(expected)) {
      assert.is((settings as unknown as { settings: Record<string, unknown> }).settings[name], value)
    }
  })
}

const refused: Array<[string, string[], Record<string, string | undefined>, RegExp[]]> = [
  ['a missing setting', [], { WASABIHEAD_HOST: undefined }, [/host has no value.*--host or WASABIHEAD_HOST/]],
  ['an empty port', [], { WASABIHEAD_CALLER_PORT: '' }, [/caller-port has "": use a whole number/]],
  ['a port out of range', ['--peer-port', '70000'], {}, [/peer-port has "70000": use a port from 0 to 65535/]],
  ['a number in another notation', ['--seed', '1e3'], {}, [/seed has "1e3"/]],
  ['a name for an IP address', ['--bind-address', 'localhost'], {}, [/bind-address has "localhost": use an IP address/]],
  ['an address that is no URL', ['--key-value-address', '10.0.0.1:2379'], {}, [/key-value-address has "10.0.0.1:2379"/]],
  ['an unknown level', ['--log-level', 'loud'], {}, [/log-level has "loud": use error, warn, info or debug/]],
  ['an unknown flag', ['--hosts=secret-word'], {}, [/There is no setting "--hosts"/]],
  ['a flag without value', ['--seed'], {}, [/seed has no value after its flag/]],
  ['a stray word', ['now'], {}, [/word on the command line belongs to no setting/]],
  ['equal ports', ['--caller-port', '81', '--peer-port', '81'], {}, [/two are equal/]],
  ['every interface without own addresses', ['--bind-address', '0.0.0.0'], {}, [/caller-address has no value/, /peer-address has/]],
  ['all faults at once', ['--seed', 'x', '--loud'], { WASABIHEAD_HOST: 'A b' }, [/seed has "x"/, /"--loud"/, /host has "A b"/]],
  ['a short secret without showing it', [], { WASABIHEAD_WORKSPACE_SECRET: SECRET }, [/workspace-secret has a secret value: use at least 16/]]
]
for (const [title, flags, environment, patterns] of refused) {
  test(`should refuse ${title}`, () => {
    const message = read(flags, environment).match({ Ok: () => 'taken', Err: text => text })
    for (const pattern of patterns) assert.match(message, pattern)
    assert.not.match(message, SECRET)
    assert.not.match(message, 'secret-word')
  })
}

test('should list every setting on the settings page with its variable and default', () => {
  const page = readFileSync(new URL('../../../../docs/settings.md', import.meta.url), 'utf8')
  for (const { flag, environmentVariable, defaultValue } of describeSettings()) {
    assert.ok(page.includes(`| \`--${flag}\` | \`${environmentVariable}\` | ${defaultValue ?? ''} |`.replace('|  |', '| |')), flag)
  }
})

test.run()

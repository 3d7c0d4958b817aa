/** The settings of the daemon: their schema, flags and descriptions. */
import { z } from 'zod'

const MAXIMUM_PORT = 65_535
const MINIMUM_SECRET_CHARACTERS = 16

/** Accepts plain digits only, since `Number` would read "" as 0 and "1e9" as a count. */
const wholeNumberSchema = z.string().regex(/^\d{1,15}$/, 'use a whole number in plain digits').transform(Number)
const limitSchema = wholeNumberSchema.pipe(z.number().min(1, 'use a number of at least 1'))
const portSchema = wholeNumberSchema.pipe(z.number().max(MAXIMUM_PORT, `use a port from 0 to ${MAXIMUM_PORT}`))
const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'use 1 to 63 lower-case letters, digits, dots and hyphens')
const urlSchema = z.url({ protocol: /^https?$/, error: 'use a URL such as http://10.0.0.7:8082' })

/** Schema of the settings as texts, after flags and environment variables have been merged. */
export const settingsSchema = z.strictObject({
  host: nameSchema,
  dataCentre: nameSchema,
  environment: nameSchema,
  bindAddress: z.union([z.ipv4(), z.ipv6()], { error: 'use an IP address' }).default('127.0.0.1'),
  callerPort: portSchema.prefault('8080'),
  operatorPort: portSchema.prefault('8081'),
  peerPort: portSchema.prefault('8082'),
  callerAddress: urlSchema.optional(),
  peerAddress: urlSchema.optional(),
  knownPeers: z.string().transform(splitList).pipe(z.array(urlSchema)).prefault(''),
  keyValueAddress: urlSchema,
  hostListAddress: urlSchema,
  operatorTokenDigest: z.string().regex(/^[0-9a-f]{64}$/, 'use a SHA-256 digest, 64 lower-case hexadecimal digits'),
  workspaceSecret: z.string().min(MINIMUM_SECRET_CHARACTERS, `use at least ${MINIMUM_SECRET_CHARACTERS} characters`),
  logLevel: z.enum(['error', 'warn', 'info', 'debug'], { error: 'use error, warn, info or debug' }).default('info'),
  maximumRunning: wholeNumberSchema.pipe(z.number().min(1, 'use a number of at least 1')).prefault('512'),
  callerMemoryBytes: limitSchema.prefault('33554432'),
  callerAddressBytes: limitSchema.prefault('25165824'),
  callerConnectionBytes: limitSchema.prefault('12582912'),
  callerRequestsAhead: limitSchema.prefault('64'),
  seed: wholeNumberSchema.prefault('1')
})

/** The daemon's settings. */
export type Settings = z.infer<typeof settingsSchema>

/** Flag and help text of a setting. */
export interface SettingHelp {
  /** Without the leading hyphens. */
  flag: string
  /** Meaning of the setting, its unit and allowed values. */
  description: string
  /** Set for secrets, whose values never appear in messages. */
  isSecret?: boolean
}

const HELP: Record<keyof Settings, SettingHelp> = {
  host: { flag: 'host', description: 'Name of this host, the same after a restart' },
  dataCentre: { flag: 'data-centre', description: 'Data centre that this host stands in' },
  environment: { flag: 'environment', description: 'Environment, such as trial or production' },
  bindAddress: { flag: 'bind-address', description: 'IP address to listen on' },
  callerPort: { flag: 'caller-port', description: 'Port for callers; 0 takes a free one' },
  operatorPort: { flag: 'operator-port', description: 'Port for operators; 0 takes a free one' },
  peerPort: { flag: 'peer-port', description: 'Port for other instances; 0 takes a free one' },
  callerAddress: { flag: 'caller-address', description: 'URL that callers are told; made from address and port if absent' },
  peerAddress: { flag: 'peer-address', description: 'URL that other instances use; made from address and port if absent' },
  knownPeers: {
    flag: 'known-peers',
    description: 'URLs of other instances, separated by commas, to find the rest when the key-value service is down'
  },
  keyValueAddress: { flag: 'key-value-address', description: "URL of the platform's key-value service" },
  hostListAddress: { flag: 'host-list-address', description: "URL of the platform's host list" },
  operatorTokenDigest: { flag: 'operator-token-digest', description: "SHA-256 of the operators' token, in hexadecimal" },
  workspaceSecret: {
    flag: 'workspace-secret',
    description: 'Secret of at least 16 characters that keys the block names; the same on every host. ' +
      'Prefer the variable, since other users of the host can read flags',
    isSecret: true
  },
  logLevel: { flag: 'log-level', description: 'error, warn, info or debug' },
  maximumRunning: { flag: 'maximum-running', description: 'Most requests that run at once on this instance' },
  callerMemoryBytes: { flag: 'caller-memory-bytes', description: 'Bytes that all connections of callers and operators may hold together' },
  callerAddressBytes: { flag: 'caller-address-bytes', description: 'Bytes that all connections from one IP address may hold' },
  callerConnectionBytes: { flag: 'caller-connection-bytes', description: 'Bytes that one connection may hold' },
  callerRequestsAhead: {
    flag: 'caller-requests-ahead',
    description: 'Requests of one connection that are read before the first of them is answered; further ones wait unread'
  },
  seed: { flag: 'seed', description: 'Seed of the jitter generator' }
}

/** A setting with its flag, environment variable and default. */
export interface SettingDescription extends SettingHelp {
  name: keyof Settings
  environmentVariable: string
  /** Absent if the setting has no default. */
  defaultValue?: string
}

/** Name of the environment variable for a flag. */
export function environmentVariableOf (flag: string): string {
  return `WASABIHEAD_${flag.replaceAll('-', '_').toUpperCase()}`
}

/** Every setting, in the order of the help text. */
export function describeSettings (): SettingDescription[] {
  return (Object.keys(HELP) as Array<keyof Settings>).map(name => {
    const help = HELP[name]
    const parsed = settingsSchema.shape[name].safeParse(undefined)
    const hasDefault = parsed.success && parsed.data !== undefined
    return {
      ...help,
      name,
      environmentVariable: environmentVariableOf(help.flag),
      ...(hasDefault ? { defaultValue: String(parsed.data) } : {})
    }
  })
}

function splitList (text: string): string[] {
  return text.split(',').map(part => part.trim()).filter(part => part !== '')
}

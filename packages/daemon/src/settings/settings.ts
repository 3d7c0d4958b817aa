/** The daemon's settings: each has a flag and an environment variable of the same name, and the flag wins. */
import { cac } from 'cac'
import { Result } from 'true-myth'
import { z } from 'zod'
import { RemediedError } from '@wasabihead/coordination'

const ENVIRONMENT_PREFIX = 'WASABIHEAD_'

const portSchema = z.coerce.number().int().min(0).max(65_535)
const digestSchema = z.string().regex(/^[0-9a-f]{64}$/)

/** Schema of the settings, after flags and environment variables are merged. */
export const settingsSchema = z.object({
  host: z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/),
  dataCentre: z.string().min(1),
  environment: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/),
  bindAddress: z.string().default('127.0.0.1'),
  callerPort: portSchema.default(8080),
  operatorPort: portSchema.default(8081),
  peerPort: portSchema.default(8082),
  callerAddress: z.url().optional(),
  peerAddress: z.url().optional(),
  knownPeers: z.string().default('').transform(splitList).pipe(z.array(z.url())),
  keyValueAddress: z.url(),
  hostListAddress: z.url(),
  operatorTokenDigest: digestSchema,
  workspaceSecret: z.string().min(16),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
  maximumRunning: z.coerce.number().int().positive().default(512),
  seed: z.coerce.number().int().nonnegative().default(1)
})

/** The daemon's settings. */
export type Settings = z.infer<typeof settingsSchema>

interface SettingHelp {
  flag: string
  /** What the setting means, its unit, and what makes a good value. */
  description: string
  /** Set for secrets: the value is left out of messages. */
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
    description: 'Secret of at least 16 characters that keys the block names; the same on every host',
    isSecret: true
  },
  logLevel: { flag: 'log-level', description: 'error, warn, info or debug' },
  maximumRunning: { flag: 'maximum-running', description: 'Most requests that run at once on this instance' },
  seed: { flag: 'seed', description: 'Seed of the jitter generator' }
}

/** A setting is missing or wrong; the program does not start. */
export class InvalidSettingError extends RemediedError {
  readonly kind = 'invalid-setting'
}

/** The environment variable of a setting. */
export function environmentVariableOf (flag: string): string {
  return ENVIRONMENT_PREFIX + flag.replaceAll('-', '_').toUpperCase()
}

/** What the command line asks for: to run with settings, or to show help or the version, which is then done. */
export type CommandLine = { kind: 'run', settings: Settings } | { kind: 'shown' }

/** Reads settings from the command line and the environment. */
export function readSettings (
  commandLine: readonly string[],
  environment: Readonly<Record<string, string | undefined>>
): Result<CommandLine, InvalidSettingError> {
  const program = createProgram()
  const parsed = program.parse(['node', 'wasabihead-daemon', ...commandLine], { run: false })
  if (parsed.options.help === true || parsed.options.version === true) return Result.ok({ kind: 'shown' })
  const unknownFlag = findUnknownFlag(commandLine)
  if (unknownFlag !== undefined) {
    return Result.err(new InvalidSettingError(
      `There is no setting "${unknownFlag}"`, 'Run "wasabihead-daemon --help" for the settings and correct the flag'))
  }
  return checkSettings(mergeSources(parsed.options, environment)).map(settings => ({ kind: 'run', settings }))
}

function createProgram (): ReturnType<typeof cac> {
  const program = cac('wasabihead-daemon')
  for (const [name, help] of settingEntries()) {
    const fallback = defaultOf(name)
    const notes = [environmentVariableOf(help.flag), fallback === undefined ? undefined : `default ${String(fallback)}`]
    program.option(`--${help.flag} <value>`, `${help.description} (${notes.filter(Boolean).join(', ')})`)
  }
  program.help()
  program.version('0.1.0')
  return program
}

function settingEntries (): Array<[keyof Settings, SettingHelp]> {
  return Object.entries(HELP) as Array<[keyof Settings, SettingHelp]>
}

function defaultOf (name: keyof Settings): unknown {
  const parsed = settingsSchema.shape[name].safeParse(undefined)
  return parsed.success ? parsed.data : undefined
}

function findUnknownFlag (commandLine: readonly string[]): string | undefined {
  const known = new Set(settingEntries().map(([, help]) => `--${help.flag}`))
  return commandLine
    .filter(word => word.startsWith('-'))
    .map(word => word.split('=')[0] as string)
    .find(flag => !known.has(flag))
}

function mergeSources (
  options: Readonly<Record<string, unknown>>,
  environment: Readonly<Record<string, string | undefined>>
): Record<string, unknown> {
  return Object.fromEntries(settingEntries().map(([name, help]) => {
    const value = options[name] ?? environment[environmentVariableOf(help.flag)]
    return [name, value === undefined ? undefined : String(value)]
  }))
}

function checkSettings (merged: Record<string, unknown>): Result<Settings, InvalidSettingError> {
  const parsed = settingsSchema.safeParse(merged)
  if (parsed.success) return Result.ok(parsed.data)
  const issue = parsed.error.issues[0]
  const name = String(issue?.path[0]) as keyof Settings
  const help = HELP[name]
  const value = merged[name]
  const shown = value === undefined ? 'no value' : help.isSecret === true ? 'a secret value' : `"${String(value)}"`
  return Result.err(new InvalidSettingError(
    `The setting ${help.flag} has ${shown}: ${issue?.message ?? 'it is not valid'}`,
    `Set --${help.flag} or ${environmentVariableOf(help.flag)}: ${help.description}`
  ))
}

function splitList (text: string): string[] {
  return text.split(',').map(part => part.trim()).filter(part => part !== '')
}

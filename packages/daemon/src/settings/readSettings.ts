/** Reads the settings. Each has a flag and an environment variable of the same name; the flag takes precedence. */
import { parseArgs } from 'node:util'
import { cac } from 'cac'
import { Result } from 'true-myth'
import { InvalidSettingError, type SettingFault } from './errors.js'
import { describeSettings, settingsSchema, type SettingDescription, type Settings } from './settingsSchema.js'

const VERSION = '0.1.0'
const ADDRESSES_OF_EVERY_INTERFACE = new Set(['0.0.0.0', '::'])
const REMEDY_FOR_FLAGS = 'Correct the command line'

/** Result of the command line: `run` with settings, or `shown` after the help or the version has been printed. */
export type CommandLine = { kind: 'run', settings: Settings } | { kind: 'shown' }

/** Unchecked text of each setting, by its name. */
type SettingTexts = Partial<Record<keyof Settings, string>>

interface Flags {
  texts: Map<string, string>
  faults: SettingFault[]
}

/** Reads and checks settings from the command line and the environment; prints the help or the version if requested. */
export function readSettings (
  commandLine: readonly string[],
  environment: Readonly<Record<string, string | undefined>>
): Result<CommandLine, InvalidSettingError> {
  const settings = describeSettings()
  if (showHelpOrVersion(commandLine, settings)) return Result.ok({ kind: 'shown' })
  const flags = readFlags(commandLine, settings)
  const texts = mergeSources(flags, environment, settings)
  const parsed = settingsSchema.safeParse(texts)
  const faults = [
    ...flags.faults,
    ...(parsed.success ? [] : parsed.error.issues.map(issue => toFault(String(issue.path[0]), issue.message, texts, settings))),
    ...findAddressFaults(texts),
    ...(parsed.success ? findPortFaults(parsed.data) : [])
  ]
  if (faults.length > 0 || !parsed.success) return Result.err(new InvalidSettingError(faults))
  return Result.ok({ kind: 'run', settings: parsed.data })
}

function showHelpOrVersion (commandLine: readonly string[], settings: readonly SettingDescription[]): boolean {
  const program = cac('wasabihead-daemon')
  for (const setting of settings) {
    const notes = [setting.environmentVariable, ...(setting.defaultValue === undefined ? [] : [`default ${setting.defaultValue}`])]
    program.option(`--${setting.flag} <value>`, `${setting.description} (${notes.join(', ')})`)
  }
  program.help()
  program.version(VERSION)
  const words = commandLine.filter(word => ['--help', '-h', '--version', '-v'].includes(word))
  program.parse(['node', 'wasabihead-daemon', ...words], { run: false })
  return words.length > 0
}

/** Reads flags without the command-line library, which converts digits to numbers and would corrupt digests and secrets. */
function readFlags (commandLine: readonly string[], settings: readonly SettingDescription[]): Flags {
  const known = new Set(settings.map(setting => setting.flag))
  const options = Object.fromEntries(settings.map(setting => [setting.flag, { type: 'string' as const }]))
  const { tokens } = parseArgs({ args: [...commandLine], options, strict: false, tokens: true })
  const flags: Flags = { texts: new Map(), faults: [] }
  for (const token of tokens) {
    if (token.kind === 'positional') {
      flags.faults.push({ problem: 'A word on the command line belongs to no setting', remedy: REMEDY_FOR_FLAGS })
    } else if (token.kind === 'option') {
      if (!known.has(token.name)) {
        flags.faults.push({ problem: `There is no setting "${token.rawName}"`, remedy: REMEDY_FOR_FLAGS })
      } else if (token.value === undefined) {
        flags.faults.push({ problem: `The setting ${token.name} has no value after its flag`, remedy: `Write --${token.name}=VALUE` })
      } else flags.texts.set(token.name, token.value)
    }
  }
  return flags
}

function mergeSources (
  flags: Flags, environment: Readonly<Record<string, string | undefined>>, settings: readonly SettingDescription[]
): SettingTexts {
  const texts: SettingTexts = {}
  for (const setting of settings) {
    const text = flags.texts.get(setting.flag) ?? environment[setting.environmentVariable]
    if (text !== undefined) texts[setting.name] = text
  }
  return texts
}

function toFault (name: string, problem: string, texts: SettingTexts, settings: readonly SettingDescription[]): SettingFault {
  const setting = settings.find(candidate => candidate.name === name) as SettingDescription
  const text = texts[setting.name]
  const remedy = `Set --${setting.flag} or ${setting.environmentVariable}: ${setting.description}`
  if (text === undefined) return { problem: `The setting ${setting.flag} has no value`, remedy }
  const shown = setting.isSecret === true ? 'a secret value' : `"${text}"`
  return { problem: `The setting ${setting.flag} has ${shown}: ${problem}`, remedy }
}

/** Others cannot connect to an address that stands for every interface, so it needs `callerAddress` and `peerAddress`. */
function findAddressFaults (texts: SettingTexts): SettingFault[] {
  const { bindAddress } = texts
  if (bindAddress === undefined || !ADDRESSES_OF_EVERY_INTERFACE.has(bindAddress)) return []
  const flags = { callerAddress: 'caller-address', peerAddress: 'peer-address' } as const
  return (['callerAddress', 'peerAddress'] as const).filter(name => texts[name] === undefined).map(name => ({
    problem: `The setting ${flags[name]} has no value, and bind-address "${bindAddress}" cannot be used instead`,
    remedy: `Set --${flags[name]} to a URL that others can connect to`
  }))
}

function findPortFaults ({ callerPort, operatorPort, peerPort }: Settings): SettingFault[] {
  const ports = [callerPort, operatorPort, peerPort].filter(port => port !== 0)
  if (new Set(ports).size === ports.length) return []
  return [{
    problem: `The settings caller-port, operator-port and peer-port have ${callerPort}, ${operatorPort} and ${peerPort}: two are equal`,
    remedy: 'Set three different ports'
  }]
}

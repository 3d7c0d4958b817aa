import type { CommandGroup } from '../program/index.js'
import { ClaimCommands } from './claims.js'
import { ConfigCommands } from './config.js'
import { DrainCommands } from './drain.js'
import { QuarantineCommands } from './quarantine.js'
import { StatusCommands } from './status.js'

/** All commands of the tool. */
export const commandGroups: readonly CommandGroup[] = [
  new ConfigCommands(), new StatusCommands(), new ClaimCommands(), new QuarantineCommands(), new DrainCommands()
]

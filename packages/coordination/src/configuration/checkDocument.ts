/** Checks of the operators' document: shape first, then references. */
import { Result } from 'true-myth'
import {
  configurationDocumentSchema, MAXIMUM_DOCUMENT_BYTES, type ConfigurationDocument
} from './document.js'
import { InvalidDocumentError, type DocumentFault } from './errors.js'

/** Checks a parsed document whole; `textBytes` is the length of its source. */
export function checkDocument (document: unknown, textBytes: number): Result<ConfigurationDocument, InvalidDocumentError> {
  if (textBytes > MAXIMUM_DOCUMENT_BYTES) {
    const problem = `it has ${textBytes} bytes, more than the ${MAXIMUM_DOCUMENT_BYTES} allowed`
    return Result.err(new InvalidDocumentError([{ path: '(document)', problem }]))
  }
  const parsed = configurationDocumentSchema.safeParse(document)
  if (!parsed.success) {
    const faults = parsed.error.issues.map(issue => ({ path: fieldPath(issue.path), problem: issue.message }))
    return Result.err(new InvalidDocumentError(faults))
  }
  const faults = [...findDuplicateNames(parsed.data), ...findDanglingReferences(parsed.data)]
  return faults.length > 0 ? Result.err(new InvalidDocumentError(faults)) : Result.ok(parsed.data)
}

function fieldPath (path: readonly PropertyKey[]): string {
  return path.length === 0 ? '(document)' : path.map(String).join('.')
}

function findDuplicateNames (document: ConfigurationDocument): DocumentFault[] {
  const sections = ['workspaces', 'models', 'kinds', 'services', 'backendServers', 'stores'] as const
  return sections.flatMap(section => {
    const seen = new Set<string>()
    return document[section].flatMap((entry, index) => {
      const isRepeated = seen.has(entry.name)
      seen.add(entry.name)
      return isRepeated ? [{ path: `${section}.${index}.name`, problem: `"${entry.name}" stands twice` }] : []
    })
  })
}

function findDanglingReferences (document: ConfigurationDocument): DocumentFault[] {
  return [
    ...findKindFaults(document),
    ...findModelFaults(document),
    ...findBackendServerFaults(document),
    ...findTokenFaults(document)
  ]
}

function findKindFaults (document: ConfigurationDocument): DocumentFault[] {
  const models = new Map(document.models.map(model => [model.name, model]))
  const services = new Set(document.services.map(service => service.name))
  return document.kinds.flatMap((kind, index): DocumentFault[] => {
    const target = kind.target
    const path = `kinds.${index}.target`
    if ('service' in target) {
      if (services.has(target.service)) return []
      return [{ path: `${path}.service`, problem: `no service is named "${target.service}"` }]
    }
    const model = models.get(target.model)
    if (model === undefined) return [{ path: `${path}.model`, problem: `no model is named "${target.model}"` }]
    if (target.adapter === undefined || model.adapters.includes(target.adapter)) return []
    return [{ path: `${path}.adapter`, problem: `model "${model.name}" has no adapter "${target.adapter}"` }]
  })
}

function findModelFaults (document: ConfigurationDocument): DocumentFault[] {
  return document.models.flatMap((model, index) => {
    if (model.weightVersions.includes(model.activeWeightVersion)) return []
    const problem = `"${model.activeWeightVersion}" is not among the model's weight versions`
    return [{ path: `models.${index}.activeWeightVersion`, problem }]
  })
}

function findBackendServerFaults (document: ConfigurationDocument): DocumentFault[] {
  const models = new Set(document.models.map(model => model.name))
  return document.backendServers.flatMap((server, index) => {
    if (models.has(server.model)) return []
    return [{ path: `backendServers.${index}.model`, problem: `no model is named "${server.model}"` }]
  })
}

function findTokenFaults (document: ConfigurationDocument): DocumentFault[] {
  const owners = new Map<string, string>()
  return document.workspaces.flatMap((workspace, index) => workspace.tokenDigests.flatMap((digest, position) => {
    const owner = owners.get(digest)
    owners.set(digest, workspace.name)
    if (owner === undefined) return []
    return [{ path: `workspaces.${index}.tokenDigests.${position}`, problem: `the same token already belongs to "${owner}"` }]
  }))
}

/** Checks across the sections of the operators' document: duplicate names and dangling references. */
import type { ConfigurationDocument } from './document.js'
import type { DocumentFault } from './errors.js'

/** Finds every fault across the document's sections. */
export function findReferenceFaults (document: ConfigurationDocument): DocumentFault[] {
  return [
    ...findDuplicateNames(document),
    ...findWorkspaceFaults(document),
    ...findKindFaults(document),
    ...findModelFaults(document),
    ...findBackendServerFaults(document),
    ...findTokenFaults(document)
  ]
}

function findDuplicateNames (document: ConfigurationDocument): DocumentFault[] {
  const sections = ['workspaces', 'models', 'kinds', 'services', 'backendServers', 'stores'] as const
  return [
    ...sections.flatMap(section => findRepeated(document[section].map(entry => entry.name), index => `${section}.${index}.name`)),
    ...document.services.flatMap((service, index) =>
      findRepeated(service.replicas.map(replica => replica.name), position => `services.${index}.replicas.${position}.name`)),
    ...findRepeated(document.backendServers.map(server => server.address), index => `backendServers.${index}.address`)
  ]
}

function findRepeated (values: readonly string[], toPath: (index: number) => string): DocumentFault[] {
  const seen = new Set<string>()
  return values.flatMap((value, index) => {
    const isRepeated = seen.has(value)
    seen.add(value)
    return isRepeated ? [{ path: toPath(index), problem: `"${value}" stands twice` }] : []
  })
}

function findWorkspaceFaults (document: ConfigurationDocument): DocumentFault[] {
  const kinds = new Set(document.kinds.map(kind => kind.name))
  return document.workspaces.flatMap((workspace, index) => (workspace.kinds ?? []).flatMap((name, position) =>
    kinds.has(name) ? [] : [{ path: `workspaces.${index}.kinds.${position}`, problem: `no kind is named "${name}"` }]))
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
    if (kind.treatment === 'at-most-once') {
      return [{ path: `kinds.${index}.treatment`, problem: 'at-most-once needs a service as target; a model\'s answer may be repeated' }]
    }
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

/** The states that a configuration specifies for the backend servers. */
import type { ConfigurationDocument } from '../configuration/index.js'
import type { DesiredState } from './messages.js'

/** Role of a backend server that serves prompts. */
export const SERVING_ROLE = 'serve'

/** One desired state for each backend server of the document whose model is in the document. */
export function desiredStatesOf (document: ConfigurationDocument): DesiredState[] {
  const models = new Map(document.models.map(model => [model.name, model]))
  return document.backendServers.flatMap(server => {
    const model = models.get(server.model)
    if (model === undefined) return []
    return [{
      server: server.name,
      model: model.name,
      weightVersion: model.activeWeightVersion,
      adapters: model.adapters,
      role: SERVING_ROLE,
      checksFencing: server.checksFencing
    }]
  })
}

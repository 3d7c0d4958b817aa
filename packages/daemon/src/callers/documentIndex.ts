/** Index of a configuration document for the reading of requests; built once for each document. */
import type {
  ConfigurationDocument, KindConfiguration, ModelConfiguration, WorkspaceConfiguration
} from '@wasabihead/coordination'

/** Finds workspaces, kinds and models of one document without a scan. */
export class DocumentIndex {
  private readonly _workspaces = new Map<string, WorkspaceConfiguration>()
  private readonly _kinds: ReadonlyMap<string, KindConfiguration>
  private readonly _models: ReadonlyMap<string, ModelConfiguration>

  /** @param document a document that has been checked */
  constructor (readonly document: ConfigurationDocument) {
    this._kinds = new Map(document.kinds.map(kind => [kind.name, kind]))
    this._models = new Map(document.models.map(model => [model.name, model]))
    for (const workspace of document.workspaces) {
      for (const digest of workspace.tokenDigests) this._workspaces.set(digest, workspace)
    }
  }

  /** The workspace that has a token with this digest, if any. */
  findWorkspace (tokenDigest: string): WorkspaceConfiguration | undefined {
    return this._workspaces.get(tokenDigest)
  }

  /** The kind with this name; undefined if there is none or the workspace may not use it. */
  findKind (workspace: WorkspaceConfiguration, name: string): KindConfiguration | undefined {
    if (workspace.kinds !== undefined && !workspace.kinds.includes(name)) return undefined
    return this._kinds.get(name)
  }

  /** The model that serves a kind; undefined if a service serves it. */
  findModel (kind: KindConfiguration): ModelConfiguration | undefined {
    return 'model' in kind.target ? this._models.get(kind.target.model) : undefined
  }
}

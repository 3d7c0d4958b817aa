/** The document in force, indexed for requests once for each configuration. */
import type {
  ConfigurationDocument, KindConfiguration, ModelConfiguration, WorkspaceConfiguration
} from '@wasabihead/coordination'

/** Finds parts of one document without a scan. */
export class DocumentIndex {
  private readonly _workspaces = new Map<string, WorkspaceConfiguration>()
  private readonly _kinds: ReadonlyMap<string, KindConfiguration>
  private readonly _models: ReadonlyMap<string, ModelConfiguration>

  /** @param document the document, checked */
  constructor (readonly document: ConfigurationDocument) {
    this._kinds = new Map(document.kinds.map(kind => [kind.name, kind]))
    this._models = new Map(document.models.map(model => [model.name, model]))
    for (const workspace of document.workspaces) {
      for (const digest of workspace.tokenDigests) this._workspaces.set(digest, workspace)
    }
  }

  /** The workspace that holds a token with this digest. */
  findWorkspace (tokenDigest: string): WorkspaceConfiguration | undefined {
    return this._workspaces.get(tokenDigest)
  }

  /** A kind that the workspace may use. */
  findKind (workspace: WorkspaceConfiguration, name: string): KindConfiguration | undefined {
    if (workspace.kinds !== undefined && !workspace.kinds.includes(name)) return undefined
    return this._kinds.get(name)
  }

  /** The model that a kind is served by, if it is. */
  findModel (kind: KindConfiguration): ModelConfiguration | undefined {
    return 'model' in kind.target ? this._models.get(kind.target.model) : undefined
  }
}

export { checkDocument, checkDocumentSource } from './checkDocument.js'
export {
  ConfigurationState, storedConfigurationSchema, type ConfigurationVersion, type StoredConfiguration
} from './configurationState.js'
export {
  configurationDocumentSchema, DOCUMENT_PARSER_OPTIONS, MAXIMUM_DOCUMENT_BYTES,
  type BackendServerConfiguration, type ConfigurationDocument, type KindConfiguration, type ModelConfiguration,
  type ServiceConfiguration, type StoreConfiguration, type WorkspaceConfiguration
} from './document.js'
export { InvalidDocumentError, type DocumentFault } from './errors.js'

export { checkDocument, checkDocumentSource } from './checkDocument.js'
export {
  ConfigurationChangeAttempt, SETTLEMENT_LIMIT,
  type CallFailure, type ChangeEffect, type ChangeMessage, type ChangeOutcome, type ReadConfiguration
} from './configurationChange.js'
export {
  CONFIRMATION_LIMIT, ConfigurationSpread, WATCHERS_PER_DATA_CENTRE, type SpreadEffect, type SpreadMessage
} from './configurationSpread.js'
export {
  configurationRecordSchema, ConfigurationState, promotionSchema,
  type ConfigurationRecord, type ConfigurationVersion, type StoredConfiguration
} from './configurationState.js'
export {
  configurationDocumentSchema, DOCUMENT_PARSER_OPTIONS, MAXIMUM_DOCUMENT_BYTES,
  type BackendServerConfiguration, type ConfigurationDocument, type KindConfiguration, type ModelConfiguration,
  type ServiceConfiguration, type StoreConfiguration, type WorkspaceConfiguration
} from './document.js'
export { InvalidDocumentError, type DocumentFault } from './errors.js'

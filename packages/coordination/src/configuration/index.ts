export { checkDocument, checkDocumentSource } from './checkDocument.js'
export {
  ConfigurationChangeAttempt, SETTLEMENT_TIMEOUT,
  type CallFailure, type ChangeEffect, type ChangeMessage, type ChangeOutcome, type ConfigurationReadResult
} from './configurationChange.js'
export {
  CONFIRMATION_TIMEOUT, ConfigurationPropagation, WATCHERS_PER_DATA_CENTRE, type PropagationEffect, type PropagationMessage
} from './configurationPropagation.js'
export {
  configurationRecordSchema, ConfigurationState, promotionSchema,
  type ConfigurationRecord, type ConfigurationVersion, type CheckedConfiguration
} from './configurationState.js'
export {
  configurationDocumentSchema, DOCUMENT_PARSER_OPTIONS, MAXIMUM_DOCUMENT_BYTES,
  type BackendServerConfiguration, type ConfigurationDocument, type KindConfiguration, type ModelConfiguration,
  type ServiceConfiguration, type StoreConfiguration, type WorkspaceConfiguration
} from './document.js'
export { InvalidDocumentError, type DocumentFault } from './errors.js'

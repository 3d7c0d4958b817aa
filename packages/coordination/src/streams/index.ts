export { AnswerAssembler, MAXIMUM_BUFFERED_PARTS, type AnswerEnd, type OrderedPart } from './answerAssembler.js'
export { AnswerRun, type AnswerRunSettings } from './answerRun.js'
export { ConnectionHealth, type ConnectionHealthEffect, type ConnectionHealthMessage } from './connectionHealth.js'
export type { AnswerRunEffect, AnswerRunMessage, AttemptFailure, IdleTimeouts } from './messages.js'

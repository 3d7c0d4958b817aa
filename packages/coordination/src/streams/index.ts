export { AnswerAssembler, type AnswerEnd, type OrderedPart } from './answerAssembler.js'

export { SmallServer, type QuestionHandler, type SmallAnswer } from './smallServer.js'

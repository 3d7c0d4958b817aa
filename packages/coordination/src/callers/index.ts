export { RequestSyntax } from './requestSyntax.js'

/** What the HTTP servers of wasabihead check beside the parser of Node.js. */
export { CheckedConnections, MalformedRequestError } from './checkedConnections.js'

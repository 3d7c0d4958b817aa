export { RoleLoop } from './roleLoop.js'

export { memberSchema, MemberTable, type Member } from './memberTable.js'

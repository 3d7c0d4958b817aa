export { LinkProber } from './linkProber.js'

export { CrashVerifier } from './crashVerifier.js'
export { LinkProber } from './linkProber.js'

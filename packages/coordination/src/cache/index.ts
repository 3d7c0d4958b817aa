export { blockKeysOf, BYTES_PER_TOKEN, estimateTokens, type BlockScope } from './blockKeys.js'

export { withHint } from './hintedEstimate.js'
export { HomeDirectory, shortBlockKeys, type PromptPlacement, type ReplicaHint } from './homeDirectory.js'
export { affinityOf, homeOf, type HomedPrompt } from './homeOf.js'

/** What a concurrent run of prompts, engines and stores records, and the checks that know only the promises. */
import type { Violation } from '../proof.js'

/** What a block really holds, whatever it is called. */
export interface BlockContent {
  workspace: string
  weightVersion: string
  /** The prompt up to the block's end. */
  text: string
  isWhole: boolean
}

/** A request used a block instead of computing it. */
export interface BlockRead {
  request: number
  workspace: string
  /** The version in force when the request was admitted. */
  admittedVersion: string
  /** The version that the request ran with. */
  ranVersion: string
  /** The prompt up to the block's end, as the request has it. */
  text: string
  content: BlockContent
}

/** Finds reads of a block that was only partly written, or freed and its place given to another. */
export function findWrongBlocks (history: readonly BlockRead[]): Violation[] {
  return findReads(history, 'a request read a block that was not its own or not whole', read =>
    !read.content.isWhole || read.content.text !== read.text)
}

/** Finds reads of another workspace's block. */
export function findSharedBlocks (history: readonly BlockRead[]): Violation[] {
  return findReads(history, 'a request read a block of another workspace', read => read.content.workspace !== read.workspace)
}

/** Finds reads of another weight version's block, and requests that changed their version. */
export function findMixedVersions (history: readonly BlockRead[]): Violation[] {
  return findReads(history, 'a request used a block of another weight version', read =>
    read.content.weightVersion !== read.admittedVersion || read.ranVersion !== read.admittedVersion)
}

function findReads (history: readonly BlockRead[], problem: string, isBroken: (read: BlockRead) => boolean): Violation[] {
  return history.filter(isBroken).map(read => ({ problem, evidence: [JSON.stringify(read)] }))
}

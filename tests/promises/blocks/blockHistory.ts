/** The history of a concurrent run of prompts, engines and stores, and its checks. The checks use the promises alone. */
import type { Violation } from '../proof.js'

/** The actual content of a block, whatever key it is stored under. */
export interface BlockContent {
  workspace: string
  weightVersion: string
  /** The prompt up to the block's end. */
  text: string
  isWhole: boolean
}

/** A request reused a cached block instead of computing it. */
export interface BlockRead {
  request: number
  workspace: string
  /** The weight version in force when the request was admitted. */
  admittedVersion: string
  /** The weight version that the request ran with. */
  ranVersion: string
  /** The request's prompt up to the block's end. */
  text: string
  content: BlockContent
}

/** Finds reads of a block that was only partly written, or that was freed and its place reused for another block. */
export function findWrongBlocks (history: readonly BlockRead[]): Violation[] {
  return findReads(history, 'a request read a block that was not its own or not whole', read =>
    !read.content.isWhole || read.content.text !== read.text)
}

/** Finds reads of another workspace's block. */
export function findSharedBlocks (history: readonly BlockRead[]): Violation[] {
  return findReads(history, 'a request read a block of another workspace', read => read.content.workspace !== read.workspace)
}

/** Finds reads of another weight version's block, and requests that ran with another version than they were admitted with. */
export function findMixedVersions (history: readonly BlockRead[]): Violation[] {
  return findReads(history, 'a request used a block of another weight version', read =>
    read.content.weightVersion !== read.admittedVersion || read.ranVersion !== read.admittedVersion)
}

function findReads (history: readonly BlockRead[], problem: string, isBroken: (read: BlockRead) => boolean): Violation[] {
  return history.filter(isBroken).map(read => ({ problem, evidence: [JSON.stringify(read)] }))
}

/** What code costs this process: memory that it keeps, and processor time. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { performance } from 'node:perf_hooks'
import type { Milliseconds } from '@wasabihead/coordination'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** A built state with the bytes that it keeps. */
export interface KeptState<State> {
  state: State
  bytes: number
}

/** Builds a state and tells the heap and buffers that it keeps. */
export function measureKeptBytes<State> (build: () => State): KeptState<State> {
  const before = usedBytes()
  const state = build()
  return { state, bytes: Math.max(0, usedBytes() - before) }
}

/** Processor time of synchronous work, in milliseconds. */
export function measureProcessorTime (perform: () => void): Milliseconds {
  const started = performance.now()
  perform()
  return performance.now() - started
}

/** Bytes of heap and buffers in use after a collection of garbage. */
export function usedBytes (): number {
  collectGarbage()
  collectGarbage()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

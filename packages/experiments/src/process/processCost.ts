/** Measures the memory and processor time that code uses in this process. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { performance } from 'node:perf_hooks'
import type { Milliseconds } from '@wasabihead/coordination'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** A state with the bytes of memory that it retains. */
export interface KeptState<State> {
  state: State
  bytes: number
}

/** Builds a state and measures the bytes of heap and buffers that it retains. */
export function measureKeptBytes<State> (build: () => State): KeptState<State> {
  const before = usedBytes()
  const state = build()
  return { state, bytes: Math.max(0, usedBytes() - before) }
}

/** Measures the elapsed time of synchronous work. */
export function measureProcessorTime (perform: () => void): Milliseconds {
  const started = performance.now()
  perform()
  return performance.now() - started
}

/** Bytes of heap and buffers in use after garbage collection. */
export function usedBytes (): number {
  collectGarbage()
  collectGarbage()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

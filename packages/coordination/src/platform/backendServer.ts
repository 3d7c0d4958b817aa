/** Backend servers: model engines, and the plain services beside them. */
import type { Result } from 'true-myth'
import type { Milliseconds } from '../common/index.js'
import type { PlatformError } from './errors.js'

/** A request as sent to a model engine. */
export interface EngineRequest {
  /** Unique for each attempt; an answer with another nonce belongs to another attempt. */
  nonce: string
  model: string
  weightVersion: string
  adapter?: string
  prompt: string
  /** Keys of the prompt's whole blocks, in order; the engine identifies its cached prefix blocks by them. */
  blockKeys: readonly string[]
  /** Number of prompt tokens in one block. */
  blockTokens: number
  maximumTokens: number
  priority: number
  /** Number of answer tokens that the caller already has; the engine continues after them. */
  resumeAfterTokens: number
}

/** One part of a streamed answer. */
export type EnginePart =
  | { kind: 'token', nonce: string, sequence: number, text: string, weightVersion: string }
  | { kind: 'end', nonce: string, tokenCount: number, promptTokens: number, cachedTokens: number, weightVersion: string }

/** A load report, which lags behind the actual load. `sequence` orders the reports of one incarnation. */
export interface LoadReport {
  incarnation: number
  sequence: number
  runningRequests: number
  queuedRequests: number
  queuedPromptTokens: number
}

/** A change of the engine's cache. Events arrive with a delay and with gaps in `sequence`. */
export interface CacheEvent {
  sequence: number
  change: 'stored' | 'removed'
  blockKey: string
}

/** A batch of cache events of one incarnation; `lastSequence` shows whether events are missing. */
export interface CacheEventBatch {
  incarnation: number
  events: readonly CacheEvent[]
  lastSequence: number
}

/** All blocks in an engine's cache at one sequence number. */
export interface CacheSnapshot {
  incarnation: number
  sequence: number
  blockKeys: readonly string[]
}

/** A block in a cache store. */
export interface StoredBlock {
  blockKey: string
  generation: number
  digest: string
  sizeBytes: number
}

/** An order to a backend server. It states the whole desired state, so that repeating it is harmless. */
export interface EngineOrder {
  /** Fencing number, which rises with each order, also across holders. Some servers ignore it. */
  fencingNumber: number
  model: string
  weightVersion: string
  adapters: readonly string[]
  role: string
}

/** An engine's current state, as it reports it. */
export interface EngineState {
  incarnation: number
  fencingNumber: number
  model: string
  weightVersion: string
  adapters: readonly string[]
  role: string
  loading: boolean
}

/** One replica of a model engine. */
export abstract class ModelEngine {
  /** Runs a request; yields the parts in the order of arrival. The iteration throws a `PlatformError` when it fails. */
  abstract run (request: EngineRequest, signal: AbortSignal): AsyncIterable<EnginePart>

  /** Stops a run by its nonce and frees its resources. */
  abstract cancel (nonce: string): Promise<Result<void, PlatformError>>

  /** Reads the latest load report. */
  abstract readLoad (): Promise<Result<LoadReport, PlatformError>>

  /** Reads cache events after a sequence number. */
  abstract readCacheEvents (afterSequence: number): Promise<Result<CacheEventBatch, PlatformError>>

  /** Reads the keys of all cached blocks. */
  abstract readCacheSnapshot (): Promise<Result<CacheSnapshot, PlatformError>>

  /** Has the engine write a block to a store, which commits it and returns its description. */
  abstract exportBlock (blockKey: string, storeAddress: string): Promise<Result<StoredBlock, PlatformError>>

  /** Has the engine read a block from a store. The engine verifies the whole block's digest before using it. */
  abstract importBlock (block: StoredBlock, storeAddress: string): Promise<Result<void, PlatformError>>

  /** Orders a desired state; returns the state reported in response. */
  abstract order (order: EngineOrder): Promise<Result<EngineState, PlatformError>>

  /** Reads the engine's current state. */
  abstract readState (): Promise<Result<EngineState, PlatformError>>

  /** Reads the engine's current state over a new connection, so that a dead connection is not taken for a dead engine. */
  abstract probe (timeout: Milliseconds): Promise<Result<EngineState, PlatformError>>

  /** Makes every later call use a new connection. Calls in flight keep theirs until they end. */
  abstract dropConnections (): void
}

/** A call to a plain service. */
export interface ServiceCall {
  /** Unique for each attempt; echoed in the answer. */
  nonce: string
  path: string
  body: string
  /** Sent where the service supports idempotency keys. */
  idempotencyKey?: string
  /** Longest time to wait for the whole answer; the adapter's own limit if absent. */
  timeout?: Milliseconds
}

/** The whole answer of a plain service. */
export interface ServiceAnswer {
  status: number
  body: string
}

/** One replica of a plain service. */
export abstract class PlainService {
  /** Sends the call once, without retries. A refused error means that the service never received it. */
  abstract call (call: ServiceCall, signal: AbortSignal): Promise<Result<ServiceAnswer, PlatformError>>
}

/** Backend servers: model engines, and the plain services beside them. */
import type { Result } from 'true-myth'
import type { Milliseconds } from '../common/index.js'
import type { PlatformError } from './errors.js'

/** A request as sent to a model engine. */
export interface EngineRequest {
  /** Unique for each attempt; an answer that carries another nonce is not ours. */
  nonce: string
  model: string
  weightVersion: string
  adapter?: string
  prompt: string
  /** Block keys of the prompt's whole blocks, in order; the engine names its cached prefix blocks by them. */
  blockKeys: readonly string[]
  /** Prompt tokens in one block. */
  blockTokens: number
  maximumTokens: number
  priority: number
  /** Count of answer tokens that the caller already has; the engine goes on after them. */
  resumeAfterTokens: number
}

/** One part of a streamed answer. */
export type EnginePart =
  | { kind: 'token', nonce: string, sequence: number, text: string, weightVersion: string }
  | { kind: 'end', nonce: string, tokenCount: number, promptTokens: number, cachedTokens: number, weightVersion: string }

/** A load report. It lags; `sequence` orders reports of one incarnation. */
export interface LoadReport {
  incarnation: number
  sequence: number
  runningRequests: number
  queuedRequests: number
  queuedPromptTokens: number
}

/** A change of the engine's cache. Events come late and with gaps in `sequence`. */
export interface CacheEvent {
  sequence: number
  change: 'stored' | 'removed'
  blockKey: string
}

/** A batch of cache events of one incarnation; `lastSequence` tells whether some were left out. */
export interface CacheEventBatch {
  incarnation: number
  events: readonly CacheEvent[]
  lastSequence: number
}

/** Everything an engine held at a moment. */
export interface CacheSnapshot {
  incarnation: number
  sequence: number
  blockKeys: readonly string[]
}

/** A block's place in a cache store. */
export interface StoredBlock {
  blockKey: string
  generation: number
  digest: string
  sizeBytes: number
}

/** An order to a backend server, as an absolute desired state, so that repeating it is harmless. */
export interface EngineOrder {
  /** Fencing number; rises across holders. Some servers ignore it. */
  fencingNumber: number
  model: string
  weightVersion: string
  adapters: readonly string[]
  role: string
}

/** What an engine says that it now runs. */
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
  /** Runs a request; parts come in the order of arrival. The iteration throws `PlatformError` kinds when it breaks. */
  abstract run (request: EngineRequest, signal: AbortSignal): AsyncIterable<EnginePart>

  /** Stops a run by its nonce and frees what it holds. */
  abstract cancel (nonce: string): Promise<Result<void, PlatformError>>

  /** Reads the latest load report. */
  abstract readLoad (): Promise<Result<LoadReport, PlatformError>>

  /** Reads cache events after a sequence number. */
  abstract readCacheEvents (afterSequence: number): Promise<Result<CacheEventBatch, PlatformError>>

  /** Reads the whole set of blocks held. */
  abstract readCacheSnapshot (): Promise<Result<CacheSnapshot, PlatformError>>

  /** Has the engine write a block to a store; the store commits it and answers its place. */
  abstract exportBlock (blockKey: string, storeAddress: string): Promise<Result<StoredBlock, PlatformError>>

  /** Has the engine read a block from a store. The engine checks the whole against the digest before it is used. */
  abstract importBlock (block: StoredBlock, storeAddress: string): Promise<Result<void, PlatformError>>

  /** Orders a desired state. */
  abstract order (order: EngineOrder): Promise<Result<EngineState, PlatformError>>

  /** Reads what the engine now runs. */
  abstract readState (): Promise<Result<EngineState, PlatformError>>

  /** Reads what the engine now runs on a new connection, so that a silent one cannot speak for the engine. */
  abstract probe (timeout: Milliseconds): Promise<Result<EngineState, PlatformError>>

  /** Has every later call use a new connection. Calls under way keep theirs until they end. */
  abstract dropConnections (): void
}

/** A call to a plain service. */
export interface ServiceCall {
  /** Unique for each attempt; echoed in the answer. */
  nonce: string
  path: string
  body: string
  /** Passed on where the service knows idempotency keys. */
  idempotencyKey?: string
  /** Longest time to wait for the whole answer; the adapter's own bound if absent. */
  timeout?: Milliseconds
}

/** The whole answer of a plain service. */
export interface ServiceAnswer {
  status: number
  body: string
}

/** One replica of a plain service. */
export abstract class PlainService {
  /** Sends the call once; never retried inside. A refused error means that the service never received it. */
  abstract call (call: ServiceCall, signal: AbortSignal): Promise<Result<ServiceAnswer, PlatformError>>
}

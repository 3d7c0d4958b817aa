/** Faults that a replay injects, each at a third of the run. */
import { MILLISECONDS_PER_HOUR, type Milliseconds } from '@wasabihead/coordination'

/** Names of the faults. */
export const faultNames = ['none', 'replica-lost', 'store-lost', 'host-lost', 'slow-link', 'weight-swap', 'batch'] as const

/** Name of a fault. */
export type ReplayFault = typeof faultNames[number]

/** For how long what is lost stays lost, and a slow link slow. */
export const FAULT_DURATION: Milliseconds = 4 * MILLISECONDS_PER_HOUR

/** Speed that a slow link keeps. */
export const SLOW_LINK_SPEED = 0.1

/** Prompts of the large batch, in multiples of the workload's usual batch. */
export const BATCH_FACTOR = 5

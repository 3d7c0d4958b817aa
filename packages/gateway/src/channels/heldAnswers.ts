/** What this process holds of answers whose ends it waits for. */
import { HeldBytes } from '@wasabihead/coordination'

/** Far below the memory of the smallest machine, most of which the process itself takes. */
const MAXIMUM_HELD_BYTES = 25_165_824

/** Shared by all connections of the process. */
export const heldAnswers = new HeldBytes<object>(MAXIMUM_HELD_BYTES)

/** Fencing numbers combine the epoch of the role with a sequence number within it, so that they rise across holders. */

/** Sequence numbers are below this, which limits the orders that one holder can issue in one epoch. */
export const ORDERS_PER_EPOCH = 2 ** 20

/** The fencing number of an order. Any number of a later epoch is higher; `sequence` must be below `ORDERS_PER_EPOCH`. */
export function fencingNumberOf (epoch: number, sequence: number): number {
  return epoch * ORDERS_PER_EPOCH + sequence
}

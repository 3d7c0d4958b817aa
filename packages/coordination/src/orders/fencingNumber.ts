/** Fencing numbers: the epoch of the role and a sequence within it, so that they rise across holders. */

/** Orders that one holder can give in one epoch. */
export const ORDERS_PER_EPOCH = 2 ** 20

/** The number of an order; rises with the epoch first. */
export function fencingNumberOf (epoch: number, sequence: number): number {
  return epoch * ORDERS_PER_EPOCH + sequence
}

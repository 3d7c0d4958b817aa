/** Addresses in the platform's notation, "IP:PORT". */

/** Splits "IP:PORT" at its last colon. */
export function splitAddress (address: string): [host: string, port: number] {
  const colon = address.lastIndexOf(':')
  return [address.slice(0, colon), Number(address.slice(colon + 1))]
}

/** Addresses as the platform writes them. */

/** IP address and port of "IP:PORT". */
export function splitAddress (address: string): [host: string, port: number] {
  const colon = address.lastIndexOf(':')
  return [address.slice(0, colon), Number(address.slice(colon + 1))]
}

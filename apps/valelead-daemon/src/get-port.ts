/** Returns the port of an address. */
export const getPort = (address: string): number => Number(address.slice(address.lastIndexOf(':') + 1));

/** Returns the IP address of an address with a port. */
export const getHost = (address: string): string => address.slice(0, address.lastIndexOf(':'));

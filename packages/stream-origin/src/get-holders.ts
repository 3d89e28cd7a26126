import {createHash} from 'node:crypto';

/** Number of processes that store the origin of each stream: the origin is known as long as one of them, or the gateway of the stream, remains. */
const HOLDER_COUNT = 3;

const getWeight = (key: string, address: string): string => createHash('sha256').update(`${key}\n${address}`).digest('hex');

/**
 * Returns the addresses of the processes that store the origin of a stream, by rendezvous hashing: if the set of addresses changes, the holders of
 * few streams do.
 */
export const getHolders = (key: string, addresses: readonly string[]): string[] => addresses.length <= HOLDER_COUNT
	? [...addresses]
	: addresses
		.map(address => ({address, weight: getWeight(key, address)}))
		.sort((left, right) => left.weight < right.weight ? -1 : 1)
		.slice(0, HOLDER_COUNT)
		.map(({address}) => address);

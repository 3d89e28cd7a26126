import {createHash} from 'node:crypto';

/** Length of a key in bytes. Among ten million streams, two have the same key by chance in one of 10^24 installations. */
const KEY_BYTES = 16;

/** Separates the hashed fields; neither can contain a line feed. */
const SEPARATOR = '\n';

/**
 * Returns the key of a stream, in hexadecimal digits. It depends on the caller's team, so that the id of another team's request finds nothing.
 * @param requestId - The id of the caller's attempt that brought the first event.
 */
export const getOriginKey = (team: string, requestId: string): string =>
	createHash('sha256').update([team, requestId].join(SEPARATOR)).digest().subarray(0, KEY_BYTES).toString('hex');

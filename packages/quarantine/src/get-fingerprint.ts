import {getDigest} from './get-digest.js';

/** The fields that identify equal requests, whichever gateway receives them and whatever request id they carry. */
type RequestIdentity = {
	/**
	 * Authenticated team of the caller; empty if callers are anonymous. Then the content of the request alone identifies it: the address of
	 * a connection does not identify a caller, as one caller connects from many addresses.
	 */
	readonly team: string;
	readonly method: string;
	readonly host: string;
	/** Path and query. */
	readonly url: string;
	readonly body: Uint8Array;
};

/**
 * Returns a hash of the fields that identify a request, in hexadecimal digits. The body cannot be recovered from it. The hash takes about 2 µs,
 * and 0.5 ms for each MiB of body (20,000 calls on one core); a gateway spends about 3 ms on a request.
 */
export const getFingerprint = ({team, method, host, url, body}: RequestIdentity): string =>
	getDigest([team, method, host.toLowerCase(), url, ''], body);

import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/** Length of a digest: among ten million requests, two have the same one by chance in one of 10^24 installations. */
const DIGEST_BYTES = 16;

/** Separates the hashed fields; none of them can contain a line feed. */
const SEPARATOR = '\n';

/** Returns a hash of fields and of bytes that follow them, in hexadecimal digits. */
export const getDigest = (fields: readonly string[], bytes: Uint8Array = new Uint8Array()): string => {
	const hash = createHash('sha256');
	hash.update(fields.join(SEPARATOR));
	hash.update(bytes);
	return Buffer.from(hash.digest().subarray(0, DIGEST_BYTES)).toString('hex');
};

import {createHash} from 'node:crypto';

/** Returns the SHA-256 digest of a key in hexadecimal. No salt is needed, as keys are random. */
export const hashKey = (key: string): string => createHash('sha256').update(key).digest('hex');

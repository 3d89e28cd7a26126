import {Buffer} from 'node:buffer';

/** Decodes a fingerprint from a message, as hexadecimal digits. */
export const decodeFingerprint = (bytes: Uint8Array): string => Buffer.from(bytes).toString('hex');

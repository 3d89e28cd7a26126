import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';

/** Compares two hashes in constant time. Returns false if their lengths differ. */
export const isEqualHash = (left: string, right: string): boolean => left.length === right.length && timingSafeEqual(Buffer.from(left), Buffer.from(right));

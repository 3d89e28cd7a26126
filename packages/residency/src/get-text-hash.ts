import {createHash} from 'node:crypto';

/** A 32-bit hash of a text, identical in every process. It is not cached, for texts of callers, which are many and may be long. */
export const getTextHash = (text: string): number => createHash('md5').update(text).digest().readUInt32BE(0);

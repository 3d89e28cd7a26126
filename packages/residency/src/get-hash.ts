import {createHash} from 'node:crypto';

/** A number that is the same in every process for the same text. */
export const getHash = (text: string): number => createHash('md5').update(text).digest().readUInt32BE(0);

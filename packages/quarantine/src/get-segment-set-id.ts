import {getDigest} from './get-digest.js';

/** Returns the id under which a set of segments is quarantined, in hexadecimal digits. The order of the fingerprints makes no difference. */
export const getSegmentSetId = (segments: readonly string[]): string => getDigest(['segments', ...[...segments].sort()]);

import {getDigest} from './get-digest.js';

/**
 * Returns a hash that identifies a prompt segment of a team, in hexadecimal digits. A segment is blamed for each team on its own: otherwise a team could
 * get another team's requests refused by naming their segments in requests that crash upstreams.
 * @param team - Authenticated team of the caller; empty if callers are anonymous.
 */
export const getSegmentFingerprint = (team: string, segmentId: string): string => getDigest(['segment', team, segmentId]);

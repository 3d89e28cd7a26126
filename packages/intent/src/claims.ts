import type {Claim} from './claim.js';

/** All claims by team and key, oldest first. */
export type Claims = Map<string, Claim>;

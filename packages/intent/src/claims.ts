import type {Claim} from './claim.js';

/** All claims, by the key that `getClaimKey` makes from team and idempotency key; oldest first. */
export type Claims = Map<string, Claim>;

import type {Withdrawal} from './withdrawal.js';

/** The runs that have declared that they accept no more requests, by run id. */
export type Withdrawals = Map<string, Withdrawal>;

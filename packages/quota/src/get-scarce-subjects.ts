import {isScarce} from './is-scarce.js';
import type {QuotaLedger} from './quota-ledger.js';

/** Returns the subjects whose quota is scarce; borrowers return the units of these subjects that they keep in stock. */
export const getScarceSubjects = (ledger: QuotaLedger, now: number): string[] => [...ledger.accounts].filter(([, account]) => isScarce(ledger, account, now)).map(([subject]) => subject);

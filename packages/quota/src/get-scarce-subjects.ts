import {isScarce} from './is-scarce.js';
import type {QuotaLedger} from './quota-ledger.js';

/** The subjects of which borrowers give back what they hold in stock. */
export const getScarceSubjects = (ledger: QuotaLedger, now: number): string[] => [...ledger.accounts].filter(([, account]) => isScarce(ledger, account, now)).map(([subject]) => subject);

import type {QUOTA_UNIT} from './quota-unit.js';

/** A value of `QUOTA_UNIT`. */
export type QuotaUnitValue = (typeof QUOTA_UNIT)[keyof typeof QUOTA_UNIT];

import type {UnitNeed} from '@valelead/residency';
import {getNeedsText} from './get-needs-text.js';
import type {StoreReport} from './store-report.js';

/** Serialises a demand report to detect changes. */
export const getDemandText = (needs: readonly UnitNeed[], {sustainedFetches, fetchesInProgress}: StoreReport): string => `${getNeedsText(needs)} ${sustainedFetches} ${fetchesInProgress}`;

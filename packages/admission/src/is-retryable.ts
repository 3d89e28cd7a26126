import {OUTCOME} from '@valelead/common';
import type {AdmissionSettings} from './admission-settings.js';
import type {AttemptEnd} from './attempt-end.js';
import type {RequestRecord} from './request-record.js';

/** Attempts of a request that could not be started, after which the request is taken for the cause. They count as no attempts of the route. */
const MAX_UNSTARTED_ATTEMPTS = 4;

/** Returns true if a request may be sent again after an attempt that ended in the given way, apart from its retry budget. */
export const isRetryable = (settings: AdmissionSettings, record: RequestRecord, end: AttemptEnd, now: number): boolean => {
	const isSafe = end.outcome === OUTCOME.NotRun || record.request.isRepeatable;
	const runs = record.runs + (end.outcome === OUTCOME.NotRun ? 0 : 1);
	const hasRuns = runs === 0 || runs < (record.request.maxRuns ?? Number.POSITIVE_INFINITY);
	const isOpen = record.state === 'sent' || record.request.isResumable === true;
	const maxAttempts = record.request.maxAttempts ?? settings.maxAttempts;
	const hasAttempts = record.attempts - record.unstartedAttempts < maxAttempts && record.unstartedAttempts < MAX_UNSTARTED_ATTEMPTS;
	return end.isLast !== true && isSafe && isOpen && hasRuns && hasAttempts && now < record.request.deadlineAt;
};

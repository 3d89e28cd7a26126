import type {AdmissionSettings} from '@valelead/admission';

/** The fixed limits and times of admission control in an entry. Times are in milliseconds. */
export const ADMISSION_DEFAULTS: Omit<AdmissionSettings, 'dataCentre'> = {
	maxAttempts: 6,
	retryShare: 0.1,
	maxRetryTokens: 20,
	ejectAfter: 3,
	ejectMs: 1000,
	maxEjectMs: 30_000,
	avoidMs: 100,
	creditMarginMs: 200,
};

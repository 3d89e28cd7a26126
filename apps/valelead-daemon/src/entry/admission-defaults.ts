import type {AdmissionSettings} from '@valelead/admission';

/** The fixed limits and times of admission control in an entry. Times are in milliseconds. */
export const ADMISSION_DEFAULTS: Omit<AdmissionSettings, 'dataCentre'> = {
	maxAttempts: 6,
	retryTokensPerRequest: 0.1,
	maxRetryTokens: 20,
	failuresBeforeEjection: 3,
	baseEjectionMs: 1000,
	maxEjectionMs: 30_000,
	refusedTargetAvoidMs: 100,
	creditMarginMs: 200,
};

import type {AdmissionSettings} from '@valelead/admission';

/** Limits and timing of a gateway's admission, beside what its settings state. Times in milliseconds. */
export const GATEWAY_ADMISSION: Omit<AdmissionSettings, 'dataCentre' | 'retryShare'> = {
	maxAttempts: 3,
	maxRetryTokens: 4,
	isRefusalBudgeted: true,
	ejectAfter: 3,
	ejectMs: 1000,
	maxEjectMs: 8000,
	avoidMs: 100,
	creditMarginMs: 0,
};

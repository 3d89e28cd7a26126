import type {AdmissionSettings} from '@valelead/admission';

/** Limits and timing of a gateway's admission, beside what its settings state. Times in milliseconds. */
const GATEWAY_ADMISSION = {
	maxAttempts: 3,
	isRefusalBudgeted: true,
	ejectAfter: 3,
	ejectMs: 1000,
	maxEjectMs: 8000,
	/** Until a sidecar or the next announcement has told what the upstream holds. */
	avoidMs: 400,
	creditMarginMs: 0,
	/** Well above the longest answer of a plain service, and above the reading of some prompts before another. */
	unansweredMs: 700,
	/** Some requests are answered in between even by an engine that reads prompts of more than a second. */
	darkMs: 1500,
};

/** The part of the installation's retries that is used; the rest covers gateways that count each other late. */
const BUDGET_SHARE = 0.85;

type BudgetTerms = {
	readonly dataCentre: string;
	/** Retries that each request earns. */
	readonly ratio: number;
	/** Retries beyond the earned ones that all gateways together may send within the budget's window. */
	readonly reserve: number;
	readonly gatewayCount: number;
};

/** The settings of a gateway's admission, with its share of the retries of all gateways. */
export const newGatewayAdmission = ({dataCentre, ratio, reserve, gatewayCount}: BudgetTerms): AdmissionSettings => {
	const share = reserve * BUDGET_SHARE / gatewayCount;
	return {
		...GATEWAY_ADMISSION, dataCentre, retryShare: ratio * BUDGET_SHARE, maxRetryTokens: share, initialRetryTokens: share,
	};
};

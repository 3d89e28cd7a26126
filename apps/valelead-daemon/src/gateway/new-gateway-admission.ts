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

/** The part of the installation's retries that is shared; the rest covers gateways that no leader counts, and news of others that are on their way. */
const BUDGET_SHARE = 0.85;

/** Retries that a gateway without a share may save up. */
const UNSHARED_RETRIES = 1;

type BudgetTerms = {
	readonly dataCentre: string;
	/** Retries that each request earns. */
	readonly ratio: number;
	/** Retries beyond the earned ones that all gateways together may send within the budget's window. */
	readonly reserve: number;
	/** In milliseconds. */
	readonly windowMs: number;
	/** Into how many shares the reserve is divided. */
	readonly gatewayCount: number;
	/** Since when this gateway has a share of the reserve, in monotonic milliseconds; undefined where it has none. */
	readonly countedSince: number | undefined;
	/** Whether nobody can have spent the share before. */
	readonly isUnspent?: boolean;
};

/**
 * The settings of a gateway's admission, with its share of the retries of all gateways. The process before this one may have spent the share just before
 * its end, so until a window has passed there is only what requests earn, unless the leader knows that nobody has sent any request yet.
 */
export const newGatewayAdmission = ({dataCentre, ratio, reserve, windowMs, gatewayCount, countedSince, isUnspent}: BudgetTerms): AdmissionSettings => {
	const common = {...GATEWAY_ADMISSION, dataCentre, retryShare: ratio * BUDGET_SHARE};
	if (countedSince === undefined) {
		return {
			...common, maxRetryTokens: UNSHARED_RETRIES, initialRetryTokens: 0, initialRetriesAt: Number.POSITIVE_INFINITY,
		};
	}

	const share = reserve * BUDGET_SHARE / gatewayCount;
	return {
		...common, maxRetryTokens: share, initialRetryTokens: share, initialRetriesAt: isUnspent ? countedSince : countedSince + windowMs,
	};
};

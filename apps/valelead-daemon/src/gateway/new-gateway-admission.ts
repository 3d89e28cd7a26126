import type {AdmissionSettings} from '@valelead/admission';

/** Constants of a gateway's admission, in addition to its settings. Times are in milliseconds. */
const GATEWAY_ADMISSION = {
	maxAttempts: 3,
	isRefusalCharged: true,
	failuresBeforeEjection: 3,
	baseEjectionMs: 1000,
	maxEjectionMs: 8000,
	/** Covers the time until a sidecar or the next announcement has reported which models the upstream has loaded. */
	refusedTargetAvoidMs: 400,
	creditMarginMs: 0,
	/** Well above the longest response time of a plain service, and above the time in which an engine prefills several earlier prompts. */
	deprioritiseAfterMs: 700,
	/** Even an engine that prefills prompts for more than a second answers some requests within this time. */
	ejectUnresponsiveAfterMs: 1500,
};

/**
 * The fraction of the installation's retry budget that is divided among the gateways. The rest covers gateways that no leader counts, and updates of
 * the gateway count that have not arrived yet.
 */
const BUDGET_SHARE = 0.85;

/** The most retries that a gateway without a share of the retry budget may accumulate. */
const MAX_UNSHARED_RETRIES = 1;

type BudgetOptions = {
	readonly dataCentre: string;
	/** Retries that each request adds to the budget. */
	readonly ratio: number;
	/** Additional retries that all gateways together may send within the budget's window. */
	readonly reserve: number;
	/** Length of the budget's window in milliseconds. */
	readonly windowMs: number;
	/** Number of shares into which the reserve is divided. */
	readonly gatewayCount: number;
	/** When this gateway got a share of the reserve, in monotonic milliseconds; undefined if it has none. */
	readonly countedSince: number | undefined;
	/** True if no earlier process of this gateway can have spent the share. */
	readonly isUnspent?: boolean;
	/** True if waiting requests are ordered by the time at which they must start to be in time. */
	readonly isOrderedByLatestStart?: boolean;
	/** True if classes that got a smaller share of their demand go first among them. */
	readonly areClassesBalanced?: boolean;
};

/**
 * Returns the settings of a gateway's admission, with its share of the retry budget of all gateways. An earlier process of the gateway may have spent
 * the share just before it ended. So for the first window only retries earned by requests are available, unless the leader knows that no request has
 * been sent yet.
 */
export const newGatewayAdmission = ({
	dataCentre, ratio, reserve, windowMs, gatewayCount, countedSince, isUnspent, isOrderedByLatestStart, areClassesBalanced,
}: BudgetOptions): AdmissionSettings => {
	const common = {
		...GATEWAY_ADMISSION, dataCentre, retryTokensPerRequest: ratio * BUDGET_SHARE, isOrderedByLatestStart, areClassesBalanced,
	};
	if (countedSince === undefined) {
		return {
			...common, maxRetryTokens: MAX_UNSHARED_RETRIES, initialRetryTokens: 0, initialRetryTokensAt: Number.POSITIVE_INFINITY,
		};
	}

	const share = reserve * BUDGET_SHARE / gatewayCount;
	return {
		...common, maxRetryTokens: share, initialRetryTokens: share, initialRetryTokensAt: isUnspent ? countedSince : countedSince + windowMs,
	};
};

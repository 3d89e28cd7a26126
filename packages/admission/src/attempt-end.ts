import type {OutcomeValue, ResultCodeValue} from '@valelead/common';

/** How an attempt ended without a complete response. */
export type AttemptEnd = {
	readonly code: ResultCodeValue;
	readonly outcome: OutcomeValue;
	/** True if the request must not be sent to another upstream, as it may crash that one too; absent if it may be sent. */
	readonly isLast?: boolean;
};

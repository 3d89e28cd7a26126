import ModernError, {type InstanceOptions} from 'modern-errors';
import {RESULT_CODE} from './result-code.js';
import type {OutcomeValue} from './outcome-value.js';
import type {ResultCodeValue} from './result-code-value.js';

type ErrorProps = {
	readonly code?: ResultCodeValue;
	readonly outcome?: OutcomeValue;
	readonly retryAfterMs?: number;
};

/** An error with a result code, and optionally the outcome of the request and the time after which to retry. */
const ValeleadError = ModernError.subclass('ValeleadError', {
	custom: class extends ModernError {
		readonly code: ResultCodeValue;
		readonly outcome: OutcomeValue | undefined;
		readonly retryAfterMs: number | undefined;

		constructor(message: string, options?: InstanceOptions & ErrorProps) {
			super(message, options);
			this.code = options?.code ?? RESULT_CODE.Internal;
			this.outcome = options?.outcome;
			this.retryAfterMs = options?.retryAfterMs;
		}
	},
});

// eslint-disable-next-line @typescript-eslint/no-redeclare -- a class made by modern-errors needs its instance type by the same name
type ValeleadError = InstanceType<typeof ValeleadError>;

export {ValeleadError};

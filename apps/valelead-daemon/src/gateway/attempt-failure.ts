import type {OutcomeValue, ResultCodeValue} from '@valelead/common';
import type {SuspectPhaseValue} from '@valelead/quarantine';
import type {ConnectionStateValue} from './connection-state-value.js';

/** An attempt that ended without a complete response: the error, the state of its connection and how far the upstream had got. */
export type AttemptFailure = {
	readonly code: ResultCodeValue;
	readonly outcome: OutcomeValue;
	readonly reason: string;
	readonly connection: ConnectionStateValue;
	/** The progress that the upstream had visibly made on the request. */
	readonly phase: SuspectPhaseValue;
};

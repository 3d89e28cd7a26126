import type {ConsensusMessage} from './consensus-message.js';
import type {Voter} from './voter.js';

/** An input that changes the state of a voter. */
export type ConsensusEvent =
	| {readonly kind: 'tick'; /** A random number, uniform in [0, 1). */ readonly jitter: number}
	| {readonly kind: 'message'; readonly from: string; readonly message: ConsensusMessage}
	/** The process was suspended for a time that its monotonic clock did not count. */
	| {readonly kind: 'resumed'}
	| {readonly kind: 'propose'; readonly proposalId: string; readonly data: string}
	| {readonly kind: 'configure'; readonly proposalId: string; readonly voters: readonly Voter[]}
	| {readonly kind: 'synced'; readonly index: number; readonly term: number}
	| {readonly kind: 'transfer'; readonly to: string}
	| {readonly kind: 'compact'; readonly index: number; readonly data: string};

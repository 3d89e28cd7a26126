import type {OutcomeValue, ResultCodeValue} from '@valelead/common';
import type {UpstreamOrder} from './upstream-order.js';

/** What an agent wants done. */
export type AgentEffect =
	| {readonly kind: 'load'; readonly order: UpstreamOrder}
	| {readonly kind: 'unload'; readonly order: UpstreamOrder}
	| {readonly kind: 'accept'; readonly attemptId: string}
	| {readonly kind: 'refuse'; readonly attemptId: string; readonly code: ResultCodeValue; readonly outcome: OutcomeValue}
	| {readonly kind: 'credits'; readonly entry: string; readonly creditIds: readonly string[]}
	/** The state of a unit changed; the leader should hear of it at once. */
	| {readonly kind: 'report'};

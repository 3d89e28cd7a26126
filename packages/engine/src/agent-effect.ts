import type {OutcomeValue, ResultCodeValue} from '@valelead/common';
import type {UpstreamOrder} from './upstream-order.js';

/** An action that an agent's state machine asks its process to carry out. */
export type AgentEffect =
	| {readonly kind: 'load'; readonly order: UpstreamOrder}
	| {readonly kind: 'unload'; readonly order: UpstreamOrder}
	| {readonly kind: 'accept'; readonly attemptId: string}
	| {readonly kind: 'refuse'; readonly attemptId: string; readonly code: ResultCodeValue; readonly outcome: OutcomeValue}
	| {readonly kind: 'credits'; readonly entry: string; readonly creditIds: readonly string[]}
	/** The state of a unit changed; the agent reports it to the leader without waiting for the next regular report. */
	| {readonly kind: 'report'};

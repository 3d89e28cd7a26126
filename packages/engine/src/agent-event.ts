import type {AgentOrders} from './agent-orders.js';
import type {OrderResult} from './order-result.js';
import type {UpstreamStatus} from './upstream-status.js';

/** An event that changes the state of an agent. Times are monotonic milliseconds of the agent. */
export type AgentEvent =
	| {readonly kind: 'status'; readonly status: UpstreamStatus; /** When the agent requested the status. */ readonly requestedAt: number}
	| {readonly kind: 'orders'; readonly orders: AgentOrders; /** When the answered report was sent. */ readonly requestedAt: number}
	| {readonly kind: 'confirmed'; readonly requestedAt: number}
	| {readonly kind: 'loadEnded'; readonly unit: string; readonly result: OrderResult}
	| {readonly kind: 'unloadEnded'; readonly unit: string; readonly result: OrderResult}
	| {readonly kind: 'lane'; readonly entry: string; readonly wanted: number}
	| {readonly kind: 'laneClosed'; readonly entry: string}
	| {readonly kind: 'dispatch'; readonly attemptId: string; readonly creditId: string; /** Empty for a plain service. */ readonly unit: string; readonly remainingMs: number}
	| {readonly kind: 'attemptEnded'; readonly attemptId: string}
	| {readonly kind: 'stop'}
	| {readonly kind: 'tick'};

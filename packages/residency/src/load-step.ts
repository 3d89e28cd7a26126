import type {DelayedLoad} from './delayed-load.js';
import type {EngineOrder} from './engine-order.js';

/** The next step of an engine for waiting requests: an order to send, a load that is delayed, or nothing to do. */
export type LoadStep =
	| {readonly kind: 'order'; readonly order: EngineOrder}
	| {readonly kind: 'delay'; readonly load: DelayedLoad}
	| {readonly kind: 'rest'};

import type {DelayedLoad} from './delayed-load.js';
import type {EngineOrder} from './engine-order.js';

/** What an engine does next for the models that requests wait for. */
export type LoadStep =
	| {readonly kind: 'order'; readonly order: EngineOrder}
	| {readonly kind: 'delay'; readonly load: DelayedLoad}
	| {readonly kind: 'rest'};

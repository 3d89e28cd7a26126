import type {OrderTerms} from '../adapter/order-terms.js';
import type {OrderReply} from './order-reply.js';
import type {StatusReply} from './status-reply.js';

/** The engine beside a sidecar, as its keeper reaches it. */
export type EnginePort = {
	/** The engine's state; rejects where it does not answer. */
	readonly getStatus: () => Promise<StatusReply>;
	/** Gives an order. Without an answer its result is unknown: it may have been taken or be carried out later. */
	readonly order: (terms: OrderTerms) => Promise<OrderReply>;
};

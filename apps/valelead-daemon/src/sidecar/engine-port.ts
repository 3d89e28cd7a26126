import type {ConditionalOrder} from '../adapter/conditional-order.js';
import type {OrderReply} from './order-reply.js';
import type {StatusReply} from './status-reply.js';

/** The interface through which an engine manager polls its engine and sends it orders. */
export type EnginePort = {
	/** Fetches the engine's status; rejects if the engine does not respond. */
	readonly getStatus: () => Promise<StatusReply>;
	/** Sends an order. If no response arrives, the result is `Unknown`: the engine may have accepted the order, or may still execute it later. */
	readonly order: (terms: ConditionalOrder) => Promise<OrderReply>;
};

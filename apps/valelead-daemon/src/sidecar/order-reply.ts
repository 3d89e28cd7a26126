import type {OrderResultValue} from '@valelead/residency';

/** The result of an order that was sent to an engine. */
export type OrderReply = {
	readonly result: OrderResultValue;
	/** The engine's id from its response; empty if the response has none. */
	readonly instanceId: string;
	/** The HTTP status and start of the response body, or the error message if no response arrived. */
	readonly reason: string;
};

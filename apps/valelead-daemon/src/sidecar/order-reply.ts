import type {OrderResultValue} from '@valelead/residency';

/** What came of an order. */
export type OrderReply = {
	readonly result: OrderResultValue;
	/** The engine's own id where it told it, or empty. */
	readonly instanceId: string;
	/** Why there is no clear answer, or empty. */
	readonly reason: string;
};

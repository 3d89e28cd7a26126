import type {ORDER_KIND} from './order-kind.js';

/** An order to an engine. */
export type EngineOrder = {
	readonly kind: (typeof ORDER_KIND)[keyof typeof ORDER_KIND];
	readonly model: string;
	/** Empty for the model itself. */
	readonly adapter: string;
};

import type {ORDER_KIND} from './order-kind.js';

/** An order to an engine to load or unload a model or an adapter. */
export type EngineOrder = {
	readonly kind: (typeof ORDER_KIND)[keyof typeof ORDER_KIND];
	readonly model: string;
	/** Name of the adapter; empty if the order concerns the model itself. */
	readonly adapter: string;
};

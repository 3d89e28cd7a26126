import type {OrderResult} from './order-result.js';
import type {UpstreamResponse} from './upstream-response.js';
import type {UpstreamOrder} from './upstream-order.js';
import type {UpstreamRequest} from './upstream-request.js';
import type {UpstreamStatus} from './upstream-status.js';

/** The interface through which an agent uses an upstream: a model engine or a plain service. */
export type Upstream = {
	readonly getStatus: () => Promise<UpstreamStatus>;
	readonly load: (order: UpstreamOrder) => Promise<OrderResult>;
	readonly unload: (order: UpstreamOrder) => Promise<OrderResult>;
	/** Rejects with a ValeleadError whose outcome says whether the request may have run. */
	readonly send: (request: UpstreamRequest, signal: AbortSignal) => Promise<UpstreamResponse>;
};

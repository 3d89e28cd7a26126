import type {IncomingHttpHeaders} from 'node:http';
import type {OrderResultValue} from '@valelead/residency';
import type {EngineStatus} from './engine-status.js';
import type {HttpCall} from './http-call.js';
import type {OrderTerms} from './order-terms.js';

/** How a sidecar speaks with its engine. */
export type EngineCodec = {
	readonly newStatusCall: () => HttpCall;
	readonly decodeStatus: (body: string) => EngineStatus;
	readonly newOrderCall: (terms: OrderTerms) => HttpCall;
	readonly decodeOrderResult: (status: number) => OrderResultValue;
	/** The engine's id where an answer tells it, or empty. */
	readonly decodeInstanceId: (headers: IncomingHttpHeaders) => string;
};

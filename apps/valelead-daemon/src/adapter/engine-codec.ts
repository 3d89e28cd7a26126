import type {IncomingHttpHeaders} from 'node:http';
import type {OrderResultValue} from '@valelead/residency';
import type {EngineStatus} from './engine-status.js';
import type {HttpCall} from './http-call.js';
import type {ConditionalOrder} from './conditional-order.js';

/** Encodes calls to an engine's HTTP interface and decodes the responses. */
export type EngineCodec = {
	readonly newStatusCall: () => HttpCall;
	readonly decodeStatus: (body: string) => EngineStatus;
	readonly newOrderCall: (terms: ConditionalOrder) => HttpCall;
	readonly decodeOrderResult: (status: number) => OrderResultValue;
	/** The engine's id from the headers of its response; empty if the response has none. */
	readonly decodeInstanceId: (headers: IncomingHttpHeaders) => string;
};

import {Buffer} from 'node:buffer';
import type {Route} from '@valelead/routing';
import {newCallerHead} from './new-caller-head.js';
import {
	type GatewayRequest, type ResponseWriter, getTarget, newGatewayRequest,
} from 'valelead-daemon';

type RequestTerms = {
	readonly id: string;
	readonly route: Route;
	/** In monotonic milliseconds. */
	readonly arrivedAt: number;
	/** What differs from a writer that writes nothing. */
	readonly answer?: Partial<ResponseWriter>;
};

const ignore = (): void => undefined;

/** A request without a body to the first service of its route. */
export const newPlainRequest = ({
	id, route, arrivedAt, answer,
}: RequestTerms): GatewayRequest => newGatewayRequest({
	id,
	head: newCallerHead(id),
	caller: {team: undefined, rank: 0, cost: 0},
	service: route.shares[0].service,
	target: getTarget(route.shares[0].service, '', ''),
	answer: {
		isStarted: false, isEnded: false, isCallerDisconnected: false, start: ignore, data: ignore, end: ignore, refuse: ignore, ...answer,
	},
	host: 'h',
	route,
	method: 'POST',
	url: '/',
	rawHeaders: [],
	body: Buffer.alloc(0),
	arrivedAt,
	deadlineAt: arrivedAt + route.timeoutMs,
	routingVersion: 1,
});

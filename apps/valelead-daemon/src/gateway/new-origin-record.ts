import type {OriginRecord, StreamOrigin} from '@valelead/stream-origin';
import {getRequestOriginKey} from './get-request-origin-key.js';
import type {GatewayRequest} from './gateway-request.js';

/** Time for which a record is kept after the caller's deadline, in milliseconds: the caller's last attempt may arrive late. */
const EXTRA_LIFETIME_MS = 2000;

/** Upper bound of a record's lifetime, in milliseconds. Callers may state any deadline. */
const MAX_LIFETIME_MS = 600_000;

/** Returns the record of where the request's stream began. It is kept for as long as the caller may resume the stream. */
export const newOriginRecord = (request: GatewayRequest, origin: StreamOrigin, now: number): OriginRecord => {
	const {head, route, arrivedAt} = request;
	const endsAt = arrivedAt + (head.deadlineMs ?? route.timeoutMs) + EXTRA_LIFETIME_MS;
	return {...origin, key: getRequestOriginKey(request), expiresAt: Math.min(endsAt, now + MAX_LIFETIME_MS)};
};

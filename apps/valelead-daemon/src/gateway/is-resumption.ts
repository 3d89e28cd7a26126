import {isResumableStream} from '@valelead/routing';
import type {GatewayRequest} from './gateway-request.js';

/** True if the request's next attempt resumes a stream: one that this gateway has begun to forward, or one that its caller began in an earlier attempt. */
export const isResumption = ({route, head, lastEventId}: Pick<GatewayRequest, 'route' | 'head' | 'lastEventId'>): boolean =>
	isResumableStream(route) && (lastEventId !== undefined || head.lastEventId !== '' || head.resumedRequestId !== '');

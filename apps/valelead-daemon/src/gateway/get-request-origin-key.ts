import {getOriginKey} from '@valelead/stream-origin';
import type {GatewayRequest} from './gateway-request.js';

/** Returns the key under which the origin of the stream is stored that this request begins. */
export const getRequestOriginKey = ({caller, head}: Pick<GatewayRequest, 'caller' | 'head'>): string => getOriginKey(caller.team?.name ?? '', head.id);

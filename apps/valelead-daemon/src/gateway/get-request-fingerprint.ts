import {getFingerprint} from '@valelead/quarantine';
import type {GatewayRequest} from './gateway-request.js';

/** Returns the fingerprint of a request. It depends on the team and the content but not on the request id, and is the same at every gateway. */
export const getRequestFingerprint = ({caller, method, host, url, body}: GatewayRequest): string => getFingerprint({
	team: caller.team?.name ?? '', method, host, url, body,
});

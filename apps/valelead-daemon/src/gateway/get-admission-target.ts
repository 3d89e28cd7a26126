import type {StreamOrigin} from '@valelead/stream-origin';
import type {GatewayRequest} from './gateway-request.js';

const getRestriction = ({softwareVersion, runId}: StreamOrigin): string => softwareVersion === '' ? `run ${runId}` : `version ${softwareVersion}`;

/**
 * Returns the target under which a request is admitted. A request that continues a stream has a target of its own, which only the upstreams offer that
 * may continue the stream. All such requests of one target and software version share it.
 */
export const getAdmissionTarget = ({target, origin}: Pick<GatewayRequest, 'target' | 'origin'>): string =>
	origin ? `${getRestriction(origin)} of ${target}` : target;

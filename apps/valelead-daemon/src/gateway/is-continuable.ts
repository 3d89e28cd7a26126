import {isHeaderValue} from '@valelead/common';
import {canContinue} from '@valelead/stream-origin';
import type {EngineView} from './engine-view.js';
import type {GatewayRequest} from './gateway-request.js';

/**
 * False if the request continues a stream and no upstream can do so, whether or not it has loaded the model. A stream whose events have no ids that could
 * be sent cannot be continued either: the next upstream would send it again from its beginning.
 */
export const isContinuable = ({hasForwardedEvents, lastEventId, origin}: GatewayRequest, views: ReadonlyMap<string, EngineView>): boolean => {
	const isPositionKnown = !hasForwardedEvents || (lastEventId !== undefined && isHeaderValue(lastEventId));
	return isPositionKnown && (origin === undefined || [...views.values()].some(({upstream}) => canContinue(origin, upstream)));
};

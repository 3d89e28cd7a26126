import {
	OUTCOME, RESULT_CODE, RESULT_DETAILS, type ResultCodeValue, ValeleadError,
} from '@valelead/common';
import {type Route, getStreamServices} from '@valelead/routing';
import {type StreamOrigin, getOriginKey} from '@valelead/stream-origin';
import type {CallerRequest} from '../adapter/caller-request.js';
import {findUnnamedOrigin} from './find-unnamed-origin.js';
import {isResumption} from './is-resumption.js';
import type {Caller} from './caller.js';
import type {OriginSource} from './origin-source.js';

type ResumedRequest = {
	readonly route: Route;
	readonly caller: Caller;
	readonly head: CallerRequest;
};

/** Time after which a caller that was refused because no leader replied may try again, in milliseconds: about that of an election. */
const LEADERLESS_RETRY_AFTER_MS = 1000;

const newError = (code: ResultCodeValue, retryAfterMs = 0): ValeleadError =>
	new ValeleadError(RESULT_DETAILS[code].meaning, {code, outcome: OUTCOME.NotRun, retryAfterMs});

/**
 * Returns where the stream began that a request resumes; undefined if the request begins anew. Throws StreamOriginUnknown if it is not known, and
 * StreamNotContinuable if the route no longer leads to the service that began the stream. A caller that does not name the attempt which began its
 * stream can resume it only if the version is certain all the same.
 */
export const getResumedOrigin = async ({route, caller, head}: ResumedRequest, source: OriginSource): Promise<StreamOrigin | undefined> => {
	if (!isResumption({route, head, lastEventId: undefined})) {
		return undefined;
	}

	const {origin, isLeaderSilent} = head.resumedRequestId === ''
		? await findUnnamedOrigin({route, caller, head}, source)
		: {origin: await source.findOrigin(getOriginKey(caller.team?.name ?? '', head.resumedRequestId), head.id), isLeaderSilent: false};
	if (!origin) {
		throw newError(RESULT_CODE.StreamOriginUnknown, isLeaderSilent ? LEADERLESS_RETRY_AFTER_MS : 0);
	}

	if (!getStreamServices(route).includes(origin.service)) {
		throw newError(RESULT_CODE.StreamNotContinuable);
	}

	return origin;
};

import {getAllowedEndpoints} from './get-allowed-endpoints.js';
import {getBestLane} from './get-best-lane.js';
import {getNextRequest} from './get-next-request.js';
import {getTeamUsage} from './get-team-usage.js';
import {getUsableLane} from './get-usable-lane.js';
import {hasReachedAll} from './has-reached-all.js';
import {hasUsableLane} from './has-usable-lane.js';
import {isHeldForUrgent} from './is-held-for-urgent.js';
import {mutateClassService} from './mutate-class-service.js';
import {mutateRequestState} from './mutate-request-state.js';
import {mutateDequeued} from './mutate-dequeued.js';
import {newRequestWait} from './new-request-wait.js';
import {REQUEST_STAGE} from './request-stage.js';
import type {AdmissionEffect} from './admission-effect.js';
import type {BestLane} from './best-lane.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';
import type {RecentDispatch} from './recent-dispatch.js';
import type {RequestRecord} from './request-record.js';

/** Number of dispatches that are remembered. A gateway dispatches about ten requests a second, and callers wait for a few seconds. */
const MAX_RECENT_DISPATCHES = 64;

type DispatchRound = {
	readonly state: AdmissionState;
	readonly settings: AdmissionSettings;
	/** The number of requests that may still be sent to each upstream that limits its request rate, by VM. */
	readonly sendsLeft: Map<string, number>;
	readonly now: number;
};

/** Weight of the newest sample in the exponential moving average of the time between dispatches. */
const INTERVAL_SMOOTHING = 0.2;

/**
 * Factor by which the longest interval shrinks with each dispatch. The slots of an engine often become free together, so that several short intervals
 * follow each long one.
 */
const LONGEST_DECAY = 0.95;

const mutateDispatchInterval = (state: AdmissionState, target: string, now: number): void => {
	const dispatchInterval = state.dispatchIntervals.get(target) ?? {
		meanMs: 0, longestMs: 0, samples: 0, lastDispatchAt: now,
	};
	const isBacklogged = (state.queues.get(target)?.length ?? 0) > 0;
	const interval = now - dispatchInterval.lastDispatchAt;
	dispatchInterval.longestMs = Math.max(dispatchInterval.longestMs * LONGEST_DECAY, dispatchInterval.samples > 0 ? interval : 0);
	if (isBacklogged && dispatchInterval.samples > 0) {
		dispatchInterval.meanMs += (interval - dispatchInterval.meanMs) * INTERVAL_SMOOTHING;
	}

	dispatchInterval.samples = isBacklogged ? dispatchInterval.samples + 1 : 0;
	dispatchInterval.lastDispatchAt = now;
	state.dispatchIntervals.set(target, dispatchInterval);
};

const mutateUsage = (state: AdmissionState, record: RequestRecord): void => {
	const usage = getTeamUsage(state, record.request.team);
	usage.inProgress += 1;
	state.virtualTime = Math.max(state.virtualTime, usage.virtualTime);
	usage.virtualTime += 1 / record.request.teamWeight;
	usage.dispatched += 1 / record.request.teamWeight;
};

const mutateRecentDispatches = ({recentDispatches}: AdmissionState, dispatch: RecentDispatch): void => {
	recentDispatches.push(dispatch);
	if (recentDispatches.length > MAX_RECENT_DISPATCHES) {
		recentDispatches.shift();
	}
};

const newDispatch = ({state, settings, now}: DispatchRound, record: RequestRecord, {vm, lane, isDirect}: BestLane): AdmissionEffect => {
	const creditId = isDirect ? '' : lane.credits.shift()!.id;
	const wait = newRequestWait(state, settings, record, false, now);
	if (wait) {
		mutateClassService(state, settings, record, wait.stage !== REQUEST_STAGE.Late, now);
	}

	mutateDequeued(state, record);
	mutateRequestState(record, 'dispatch');
	mutateUsage(state, record);
	mutateDispatchInterval(state, record.request.target, now);
	record.attempts += 1;
	record.attemptId = `${record.request.requestId}.${record.attempts}`;
	record.vm = vm;
	record.dispatchedAt = now;
	lane.isDirect = isDirect;
	lane.inProgress += 1;
	lane.unansweredSince ??= now;
	lane.lastUsedAt = now;
	if (settings.isOrderedByLatestStart) {
		lane.classUses.set(record.request.className, now);
		mutateRecentDispatches(state, {className: record.request.className, vm, at: now});
	}

	return {
		kind: 'dispatch',
		requestId: record.request.requestId,
		attemptId: record.attemptId,
		vm,
		creditId,
		remainingMs: record.request.deadlineAt - now,
		wait,
	};
};

/** True if a request that may be sent only to upstreams which it has reached can be sent to one of them now. */
const isReachedUsable = ({state, sendsLeft, now}: DispatchRound, record: RequestRecord): boolean =>
	now >= record.pausedUntil && getAllowedEndpoints(state, record).some(endpoint => getUsableLane(state, endpoint, record.request.target, sendsLeft, now));

/** True if no limit of its own holds a request back. One that waits for certain upstreams must not hold up the requests behind it. */
const isAllowed = (round: DispatchRound, record: RequestRecord): boolean => {
	const {state, now} = round;
	const {request, limits} = record;
	const isInTime = request.deadlineAt > now;
	const isTeamAllowed = getTeamUsage(state, request.team).inProgress < limits.teamInProgress;
	return isInTime && isTeamAllowed && (!hasReachedAll(record) || isReachedUsable(round, record));
};

const mutateSendsLeft = (sendsLeft: Map<string, number>, vm: string): void => {
	const left = sendsLeft.get(vm);
	if (left !== undefined) {
		sendsLeft.set(vm, left - 1);
	}
};

/** Returns the next request of a target, if an upstream can take one. */
const getTargetRequest = (round: DispatchRound, target: string): RequestRecord | undefined => {
	const {state, settings, sendsLeft, now} = round;
	const queue = state.queues.get(target);
	if (!queue || !hasUsableLane(state, target, sendsLeft, now)) {
		return undefined;
	}

	const allowed = queue.filter(record => isAllowed(round, record));
	const next = getNextRequest(state, settings, allowed, now);
	const isHeld = next !== undefined && settings.isOrderedByLatestStart === true && isHeldForUrgent(state, next, sendsLeft, now);
	return isHeld ? getNextRequest(state, settings, allowed.filter(record => !isHeldForUrgent(state, record, sendsLeft, now)), now) : next;
};

/** Sends a request to its best upstream; returns undefined if none can take it now. */
const mutateDispatch = (round: DispatchRound, record: RequestRecord): AdmissionEffect | undefined => {
	const {state, settings, sendsLeft, now} = round;
	const chosen = getBestLane(state, settings, {record, sendsLeft}, now);
	if (!chosen) {
		return undefined;
	}

	const effect = newDispatch(round, record, chosen);
	mutateSendsLeft(sendsLeft, chosen.vm);
	return effect;
};

/** Dispatches the requests of one target after the other, in the order in which the targets' queues began. */
const mutateByTarget = (round: DispatchRound): AdmissionEffect[] => {
	const effects: AdmissionEffect[] = [];
	for (const target of round.state.queues.keys()) {
		let record = getTargetRequest(round, target);
		while (record) {
			const effect = mutateDispatch(round, record);
			if (!effect) {
				break;
			}

			effects.push(effect);
			record = getTargetRequest(round, target);
		}
	}

	return effects;
};

/**
 * Dispatches the requests of all targets in one order. Models that are loaded on the same engine compete for its slots: if the targets were served one
 * after the other, a model whose queue never empties would take every slot of the engine.
 */
const mutateByLatestStart = (round: DispatchRound): AdmissionEffect[] => {
	const {state, settings, now} = round;
	const effects: AdmissionEffect[] = [];
	const heads = new Map<string, RequestRecord>();
	const setHead = (target: string): void => {
		const record = getTargetRequest(round, target);
		if (record) {
			heads.set(target, record);
		} else {
			heads.delete(target);
		}
	};

	for (const target of state.queues.keys()) {
		setHead(target);
	}

	while (heads.size > 0) {
		const record = getNextRequest(state, settings, [...heads.values()], now)!;
		const {target} = record.request;
		const effect = mutateDispatch(round, record);
		if (effect) {
			effects.push(effect);
			setHead(target);
		} else {
			heads.delete(target);
		}
	}

	return effects;
};

/** Dispatches all requests that can be sent now: the next request to the best VM, as long as a VM can take one. */
export const mutateDispatches = (state: AdmissionState, settings: AdmissionSettings, now: number): AdmissionEffect[] => {
	for (const lane of state.lanes.values()) {
		lane.credits = lane.credits.filter(credit => credit.expiresAt - settings.creditMarginMs > now);
	}

	const sendsLeft = new Map([...settings.sendLimits ?? []].map(([vm, {sends}]) => [vm, sends]));
	const round: DispatchRound = {
		state, settings, sendsLeft, now,
	};
	return settings.isOrderedByLatestStart ? mutateByLatestStart(round) : mutateByTarget(round);
};

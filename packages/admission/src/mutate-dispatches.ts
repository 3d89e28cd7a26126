import {getBestLane} from './get-best-lane.js';
import {getNextRequest} from './get-next-request.js';
import {getTeamUsage} from './get-team-usage.js';
import {mutateRequestState} from './mutate-request-state.js';
import {mutateDequeued} from './mutate-dequeued.js';
import type {AdmissionEffect} from './admission-effect.js';
import type {BestLane} from './best-lane.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/** Weight of the newest sample in the exponential moving average of the time between dispatches. */
const INTERVAL_SMOOTHING = 0.2;

const mutateDispatchInterval = (state: AdmissionState, target: string, now: number): void => {
	const dispatchInterval = state.dispatchIntervals.get(target) ?? {meanMs: 0, samples: 0, lastDispatchAt: now};
	const isBacklogged = (state.queues.get(target)?.length ?? 0) > 0;
	const interval = now - dispatchInterval.lastDispatchAt;
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
};

const newDispatch = (state: AdmissionState, record: RequestRecord, {vm, lane, isDirect}: BestLane, now: number): AdmissionEffect => {
	const creditId = isDirect ? '' : lane.credits.shift()!.id;
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
	return {
		kind: 'dispatch',
		requestId: record.request.requestId,
		attemptId: record.attemptId,
		vm,
		creditId,
		remainingMs: record.request.deadlineAt - now,
	};
};

const isAllowed = (state: AdmissionState, record: RequestRecord, now: number): boolean => {
	const isInTime = record.request.deadlineAt > now;
	return isInTime && getTeamUsage(state, record.request.team).inProgress < record.limits.teamInProgress;
};

const mutateSendsLeft = (sendsLeft: Map<string, number>, vm: string): void => {
	const left = sendsLeft.get(vm);
	if (left !== undefined) {
		sendsLeft.set(vm, left - 1);
	}
};

/** Dispatches all requests that can be sent now: for each target, the next request to the best VM, as long as a VM can take one. */
export const mutateDispatches = (state: AdmissionState, settings: AdmissionSettings, now: number): AdmissionEffect[] => {
	const effects: AdmissionEffect[] = [];
	for (const lane of state.lanes.values()) {
		lane.credits = lane.credits.filter(credit => credit.expiresAt - settings.creditMarginMs > now);
	}

	const sendsLeft = new Map([...settings.sendLimits ?? []].map(([vm, {sends}]) => [vm, sends]));
	for (const target of state.queues.keys()) {
		let best = getBestLane(state, settings, {target, sendsLeft}, now);
		while (best) {
			const record = getNextRequest(state, target, candidate => isAllowed(state, candidate, now));
			if (!record) {
				break;
			}

			const chosen = settings.getLaneCost ? getBestLane(state, settings, {target, request: record.request, sendsLeft}, now) : best;
			if (!chosen) {
				break;
			}

			effects.push(newDispatch(state, record, chosen, now));
			mutateSendsLeft(sendsLeft, chosen.vm);
			best = state.queues.has(target) ? getBestLane(state, settings, {target, sendsLeft}, now) : undefined;
		}
	}

	return effects;
};

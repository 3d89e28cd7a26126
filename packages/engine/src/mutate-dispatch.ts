import {OUTCOME, RESULT_CODE, type ResultCodeValue} from '@valelead/common';
import {getRefusalCode} from './get-refusal-code.js';
import {UNIT_STATE} from './unit-state.js';
import type {AgentEffect} from './agent-effect.js';
import type {AgentEvent} from './agent-event.js';
import type {AgentSettings} from './agent-settings.js';
import type {AgentState} from './agent-state.js';

type Dispatch = Extract<AgentEvent, {kind: 'dispatch'}>;

const mutateSpentCredit = (state: AgentState, creditId: string): boolean => {
	const credit = state.credits.get(creditId);
	state.credits.delete(creditId);
	if (!credit) {
		return false;
	}

	state.lanes.get(credit.entry)?.credits.delete(creditId);
	return true;
};

const getDispatchRefusalCode = (state: AgentState, settings: AgentSettings, dispatch: Dispatch, now: number): ResultCodeValue | undefined => {
	const credit = state.credits.get(dispatch.creditId);
	const isSpent = !mutateSpentCredit(state, dispatch.creditId);
	if (isSpent || now >= credit!.expiresAt || state.attempts.has(dispatch.attemptId)) {
		return RESULT_CODE.CreditExpired;
	}

	const refusalCode = getRefusalCode(state, settings, now);
	if (refusalCode !== undefined) {
		return refusalCode;
	}

	if (dispatch.remainingMs <= 0) {
		return RESULT_CODE.DeadlineExceeded;
	}

	const unit = state.units.get(dispatch.unit);
	const isReady = dispatch.unit === '' || (unit?.state === UNIT_STATE.Ready && !unit.isRevoking);
	return isReady ? undefined : RESULT_CODE.UnitNotReady;
};

/**
 * Accepts or refuses a request that an entry dispatched to this agent. A refused request never reaches the upstream, unless it repeats an attempt
 * that was accepted before.
 */
export const mutateDispatch = (state: AgentState, settings: AgentSettings, dispatch: Dispatch, now: number): AgentEffect[] => {
	const isKnown = state.attempts.has(dispatch.attemptId);
	const code = getDispatchRefusalCode(state, settings, dispatch, now);
	if (code !== undefined) {
		const outcome = isKnown ? OUTCOME.Unknown : OUTCOME.NotRun;
		return [{
			kind: 'refuse', attemptId: dispatch.attemptId, code, outcome,
		}];
	}

	state.attempts.set(dispatch.attemptId, {unit: dispatch.unit, isEnded: false, acceptedAt: now});
	state.inProgress += 1;
	const unit = state.units.get(dispatch.unit);
	if (unit) {
		unit.inProgress += 1;
		unit.lastUsedAt = now;
	}

	return [{kind: 'accept', attemptId: dispatch.attemptId}];
};

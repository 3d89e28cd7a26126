import {getRefusalCode} from './get-refusal-code.js';
import type {AgentEffect} from './agent-effect.js';
import type {AgentSettings} from './agent-settings.js';
import type {AgentState} from './agent-state.js';

const mutateExpired = (state: AgentState, now: number): void => {
	for (const [creditId, credit] of state.credits) {
		if (credit.expiresAt > now) {
			break;
		}

		state.credits.delete(creditId);
		state.lanes.get(credit.entry)?.credits.delete(creditId);
	}
};

const getTargetCredits = (wanted: number, settings: AgentSettings): number => wanted === 0 ? 0 : Math.max(wanted, settings.spareCredits);

/** Returns true if an entry gets another credit. A refill starts once at most half of the target is left, to save messages. */
const isRefillDue = (count: number, target: number, isBeingFilled: boolean): boolean => count < target && (isBeingFilled || count <= target / 2);

/** Issues the unused capacity of the upstream to the entries as credits; the entry with the fewest credits is served first. */
export const mutateCredits = (state: AgentState, settings: AgentSettings, now: number): AgentEffect[] => {
	mutateExpired(state, now);
	if (getRefusalCode(state, settings, now) !== undefined) {
		return [];
	}

	let free = state.status!.capacity - state.inProgress - state.credits.size;
	const issued = new Map<string, string[]>();
	while (free > 0) {
		const recipient = [...state.lanes]
			.filter(([entry, lane]) => isRefillDue(lane.credits.size, getTargetCredits(lane.wanted, settings), issued.has(entry)))
			.sort(([, left], [, right]) => left.credits.size - right.credits.size)[0];
		if (!recipient) {
			break;
		}

		const [entry, lane] = recipient;
		const creditId = String(state.nextCredit);
		state.nextCredit += 1;
		state.credits.set(creditId, {entry, expiresAt: now + settings.creditMs});
		lane.credits.add(creditId);
		issued.set(entry, [...(issued.get(entry) ?? []), creditId]);
		free -= 1;
	}

	return [...issued].map(([entry, creditIds]) => ({kind: 'credits', entry, creditIds}));
};

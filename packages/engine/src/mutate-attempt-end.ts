import type {AgentState} from './agent-state.js';

/** Attempts that are remembered after their end. */
const MAX_REMEMBERED_ATTEMPTS = 20_000;

/** Notes the end of an accepted attempt. */
export const mutateAttemptEnd = (state: AgentState, attemptId: string, now: number): void => {
	const attempt = state.attempts.get(attemptId);
	if (!attempt || attempt.isEnded) {
		return;
	}

	attempt.isEnded = true;
	state.inProgress -= 1;
	const unit = state.units.get(attempt.unit);
	if (unit) {
		unit.inProgress -= 1;
		unit.lastUsedAt = now;
	}

	for (const [id, oldest] of state.attempts) {
		if (state.attempts.size <= MAX_REMEMBERED_ATTEMPTS || !oldest.isEnded) {
			break;
		}

		state.attempts.delete(id);
	}
};

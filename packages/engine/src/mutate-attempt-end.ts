import type {AgentState} from './agent-state.js';

/** Attempts that the agent remembers so that entries can query their outcome. Beyond this number, the oldest attempts are forgotten once ended. */
const MAX_REMEMBERED_ATTEMPTS = 20_000;

/** Marks an accepted attempt as ended and frees its place in the upstream's capacity. */
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

import {UNIT_STATE} from './unit-state.js';
import type {AgentState} from './agent-state.js';

/** Memory that the engine holds or may come to hold from orders given, in bytes. */
export const getUsedBytes = (state: AgentState): number => {
	let bytes = 0;
	for (const unit of state.units.values()) {
		if (unit.state !== UNIT_STATE.Reserved && unit.state !== UNIT_STATE.Gone) {
			bytes += unit.memoryBytes;
		}
	}

	return bytes;
};

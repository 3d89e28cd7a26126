import {getLoadKey} from './get-load-key.js';
import {mutateLoadEnd} from './mutate-load-end.js';
import type {PlacementState} from './placement-state.js';
import type {PlacementView} from './placement-view.js';

/** The time within which a granted replica must appear in the view, in milliseconds; after that its load counts as failed. */
const GRANT_VISIBLE_MS = 2000;

/** Ends the loads whose replicas became ready, are being revoked or disappeared from the view. */
export const mutateLoads = (state: PlacementState, view: PlacementView, now: number): void => {
	const replicas = new Map(view.vms.flatMap(vm => vm.replicas).map(replica => [getLoadKey(replica.unit, replica.vm), replica]));
	for (const [key, load] of state.loads) {
		const replica = replicas.get(key);
		if (replica?.isReady) {
			mutateLoadEnd(state, key, replica.memoryBytes, true, now);
			continue;
		}

		const isGone = !replica && now - load.startedAt > GRANT_VISIBLE_MS;
		if (isGone || replica?.isRevoking) {
			mutateLoadEnd(state, key, 0, false, now);
		}
	}
};

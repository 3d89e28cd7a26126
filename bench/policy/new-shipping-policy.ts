import {type PolicySettings, decidePlacement, newPlacementState} from '@valelead/placement';
import type {Policy} from './policy.js';

/** The placement that ships. */
export const newShippingPolicy = (settings: PolicySettings): Policy => {
	const state = newPlacementState(settings, 0);
	return {
		name: 'valelead',
		decide: (view, now) => decidePlacement(state, settings, view, now),
	};
};

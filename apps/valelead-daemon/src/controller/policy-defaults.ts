import type {PolicySettings} from '@valelead/placement';

/** The placement policy of a controller, whose settings have no policy; see docs/POLICY.md. */
export const POLICY_DEFAULTS: PolicySettings = {
	coldStartWeight: 1, idleWeight: 0.01, loadsPerSecond: 3, concurrentLoads: 4, assumedLoadMsPerGib: 500,
};

import {type Upstream, UPSTREAM_STATE} from '@valelead/discovery';

/** A run of an engine that holds nothing, with what a test says of it. */
export const newUpstream = (id: string, changes: Partial<Upstream> = {}): Upstream => ({
	id,
	instanceId: id,
	bornAt: 0,
	service: 's',
	address: id,
	dataCentre: 'z',
	state: UPSTREAM_STATE.Ready,
	slots: 64,
	sequence: 1,
	models: [],
	copiesInMemory: [],
	copiesOnDisk: [],
	remainingMs: 0,
	softwareVersion: 'v1',
	keeperAddress: '',
	...changes,
});

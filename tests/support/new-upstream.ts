import type {Address} from '@valelead/common';
import {type Upstream, UPSTREAM_STATE} from '@valelead/discovery';

type UpstreamChoice = Partial<Omit<Upstream, 'address'>> & {
	/** Any text; most tests connect to nothing. */
	readonly address?: string;
};

/** A run of an engine that holds nothing, with what a test says of it. */
export const newUpstream = (id: string, {address = id, ...changes}: UpstreamChoice = {}): Upstream => ({
	id,
	instanceId: id,
	bornAt: 0,
	service: 's',
	address: address as Address,
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

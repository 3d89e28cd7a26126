import type {Address} from '@valelead/common';
import {UPSTREAM_STATE} from './upstream-state.js';
import {getNewestRun} from './get-newest-run.js';
import {getRunId} from './get-run-id.js';
import {mutateEntry} from './mutate-entry.js';
import type {Directory} from './directory.js';
import type {Run} from './run.js';
import type {Upstream} from './upstream.js';

const newUnknownUpstream = ({instanceId, bornAt}: Run): Upstream => ({
	id: getRunId({instanceId, bornAt}),
	instanceId,
	bornAt,
	service: '',
	address: '' as Address,
	dataCentre: '',
	softwareVersion: '',
	state: UPSTREAM_STATE.Gone,
	slots: 0,
	sequence: 0,
	models: [],
	copiesInMemory: [],
	copiesOnDisk: [],
	remainingMs: 0,
	keeperAddress: '',
});

/**
 * Applies the departure of a run of an upstream. The run is never restored; the upstream may start again as another run. A departure without
 * a start time applies to the newest known run. Returns the departed run.
 */
export const mutateDeparture = (directory: Directory, {instanceId, bornAt}: Run, now: number): Upstream => {
	const newest = getNewestRun(directory, instanceId);
	const run = {instanceId, bornAt: bornAt === 0 ? newest?.bornAt ?? 0 : bornAt};
	const known = directory.entries.get(getRunId(run))?.upstream;
	const upstream: Upstream = {...(known ?? newUnknownUpstream(run)), state: UPSTREAM_STATE.Gone};
	mutateEntry(directory, upstream, now);
	directory.entries.get(upstream.id)!.replacedState = undefined;
	return upstream;
};

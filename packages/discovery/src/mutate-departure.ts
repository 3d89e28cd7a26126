import {UPSTREAM_STATE} from './upstream-state.js';
import {mutateEntry} from './mutate-entry.js';
import type {Directory} from './directory.js';

const UNKNOWN = {
	service: '',
	address: '',
	dataCentre: '',
	slots: 0,
	sequence: 0,
	models: [],
	copiesInMemory: [],
	copiesOnDisk: [],
	remainingMs: 0,
	keeperAddress: '',
};

/** Takes an upstream's word that it leaves. Its id never comes back. */
export const mutateDeparture = (directory: Directory, id: string, now: number): void => {
	const known = directory.entries.get(id)?.upstream;
	mutateEntry(directory, {...(known ?? {...UNKNOWN, id}), state: UPSTREAM_STATE.Gone}, now);
	directory.entries.get(id)!.isReplaced = false;
};

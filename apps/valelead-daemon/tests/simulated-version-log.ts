import {type VersionChange, type VersionRegister, mutateVersionRegister} from '@valelead/stream-origin';
import type {VersionLog} from 'valelead-daemon';

type PendingChange = {
	readonly change: VersionChange;
	readonly resolve: () => void;
};

/** A replicated log of software versions, with one leader at a time. Changes are committed in their order when the test says so. */
export class SimulatedVersionLog implements VersionLog {
	readonly machine: {readonly versions: VersionRegister} = {versions: new Map()};
	readonly node = {term: 1, canRead: true};
	/** True if changes are committed at once. */
	isFast = true;
	/** All changes that were proposed. */
	readonly proposed: VersionChange[] = [];
	readonly #pending: PendingChange[] = [];

	readonly changeVersions = async (change: VersionChange): Promise<void> => new Promise(resolve => {
		this.proposed.push(change);
		this.#pending.push({change, resolve});
		if (this.isFast) {
			this.commit();
		}
	});

	/** Commits all pending changes. */
	commit(): void {
		for (const {change, resolve} of this.#pending.splice(0)) {
			mutateVersionRegister(this.machine.versions, change);
			resolve();
		}
	}

	/** Begins a term. Its leader commits what the one before has left in the log; that one's callers get no answer. */
	lead(): void {
		for (const {change} of this.#pending.splice(0)) {
			mutateVersionRegister(this.machine.versions, change);
		}

		this.node.term += 1;
	}
}

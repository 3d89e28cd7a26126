import {
	type OriginRegister, type RouteChange, type VersionChange, mutateOriginRegister,
} from '@valelead/stream-origin';
import type {RouteLog, VersionLog} from 'valelead-daemon';

type PendingChange = {
	readonly apply: () => void;
	readonly resolve: () => void;
};

/** A replicated log of software versions and of the services of routes, with one leader at a time. Changes are committed in their order when the test says so. */
export class SimulatedVersionLog implements VersionLog, RouteLog {
	readonly machine: {readonly versions: OriginRegister; readonly routes: OriginRegister} = {versions: new Map(), routes: new Map()};
	readonly node = {term: 1, canRead: true};
	/** True if changes are committed at once. */
	isFast = true;
	/** All changes of versions that were proposed. */
	readonly proposed: VersionChange[] = [];
	readonly #pending: PendingChange[] = [];

	readonly changeVersions = async (change: VersionChange): Promise<void> => {
		this.proposed.push(change);
		await this.propose(() => {
			mutateOriginRegister(this.machine.versions, change.kind, {name: change.service, value: change.softwareVersion});
		});
	};

	readonly changeRoutes = async ({kind, route, service}: RouteChange): Promise<void> => this.propose(() => {
		mutateOriginRegister(this.machine.routes, kind, {name: route, value: service});
	});

	/** Resolves once an entry with any effect is committed. */
	async propose(apply: () => void): Promise<void> {
		return new Promise(resolve => {
			this.#pending.push({apply, resolve});
			if (this.isFast) {
				this.commit();
			}
		});
	}

	/** Commits all pending changes. */
	commit(): void {
		for (const {apply, resolve} of this.#pending.splice(0)) {
			apply();
			resolve();
		}
	}

	/** Begins a term. Its leader commits what the one before has left in the log; that one's callers get no answer. */
	lead(): void {
		for (const {apply} of this.#pending.splice(0)) {
			apply();
		}

		this.node.term += 1;
	}
}

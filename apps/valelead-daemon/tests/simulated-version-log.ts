import {type Upstream, type Withdrawals, mutateWithdrawals} from '@valelead/discovery';
import {
	type OriginRegister, type RouteChange, type VersionChange, mutateOriginRegister,
} from '@valelead/stream-origin';
import type {RouteLog, VersionLog, WithdrawalLog} from 'valelead-daemon';

type PendingChange = {
	readonly apply: () => void;
	readonly resolve: () => void;
};

/** A replicated log of software versions, of the services of routes and of withdrawals, with one leader at a time. Changes are committed in their order when the test says so. */
export class SimulatedVersionLog implements VersionLog, RouteLog, WithdrawalLog {
	readonly machine: {readonly versions: OriginRegister; readonly routes: OriginRegister; readonly withdrawals: Withdrawals} = {
		versions: new Map(), routes: new Map(), withdrawals: new Map(),
	};

	readonly node = {term: 1, canRead: true};
	/** True if changes are committed at once. */
	isFast = true;
	/** All changes of versions that were proposed. */
	readonly proposed: VersionChange[] = [];
	readonly #pending: PendingChange[] = [];

	/** Returns the time of day that entries of the log get, in milliseconds. */
	getWallNow = (): number => 0;

	readonly changeVersions = async (change: VersionChange): Promise<void> => {
		this.proposed.push(change);
		await this.propose(() => {
			mutateOriginRegister(this.machine.versions, change.kind, {name: change.service, value: change.softwareVersion});
		});
	};

	readonly changeRoutes = async ({kind, route, service}: RouteChange): Promise<void> => this.propose(() => {
		mutateOriginRegister(this.machine.routes, kind, {name: route, value: service});
	});

	readonly withdraw = async (upstream: Upstream): Promise<void> => {
		const at = this.getWallNow();
		await this.propose(() => {
			mutateWithdrawals(this.machine.withdrawals, {upstream, at});
		});
	};

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

	/** Loses the entries that are not committed yet; their callers get no answer. */
	drop(): void {
		this.#pending.splice(0);
	}

	/** Begins a term. Its leader commits what the one before has left in the log; that one's callers get no answer. */
	lead(): void {
		for (const {apply} of this.#pending.splice(0)) {
			apply();
		}

		this.node.term += 1;
	}
}

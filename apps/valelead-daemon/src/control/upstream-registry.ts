import {
	type Clock, RESULT_CODE, type TimerService, ValeleadError,
} from '@valelead/common';
import {
	type Directory, type Run, type Upstream, UPSTREAM_STATE, getNewestRun, mutateAnnouncement, mutateDeparture, mutateManagerAddress, mutateRestoredWithdrawals, mutateSilentUpstreams,
	newDirectory,
} from '@valelead/discovery';
import type {Logger} from 'pino';
import type {Voter} from './voter.js';
import type {WithdrawalLog} from './withdrawal-log.js';

type RegistryParts = {
	readonly voter: Pick<Voter, 'record'> & Pick<WithdrawalLog, 'node' | 'machine'>;
	/** Returns the services of the routing in force; undefined before the first routing. */
	readonly getServices: () => ReadonlySet<string> | undefined;
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Interval at which upstreams announce themselves, in milliseconds. */
	readonly announceMs: number;
	/** Called when the directory changes in a way that must be sent to followers immediately. */
	readonly onChange: () => void;
	/** Called when an engine that is managed from another machine announces a change of its models or copies. */
	readonly onEngineModels: (upstream: Upstream) => void;
};

/** An upstream is removed as silent after it has missed this many announcements. */
const MAX_MISSED_ANNOUNCEMENTS = 4;

/** A check for silent upstreams that comes later than this shows that this process was stalled, in milliseconds. */
const STALL_MS = 200;

/**
 * Directory of the upstreams that have announced themselves to this voter in its current term as the leader. Begins with the withdrawals in the replicated
 * log, so that an announcement that was delayed beyond the end of a term does not restore a run that has departed.
 */
export class UpstreamRegistry {
	readonly #parts: RegistryParts;
	#directory: Directory = newDirectory();
	/** Addresses of the processes that manage engines, by the address of the engine. */
	readonly #managerAddresses = new Map<string, string>();
	#term = -1;
	#checkedAt: number;
	/** When this process went on after its last stall, in monotonic milliseconds. */
	#resumedAt = Number.NEGATIVE_INFINITY;
	/** True once the directory of this term has the withdrawals of earlier terms. */
	#isRestored = false;

	constructor(parts: RegistryParts) {
		this.#parts = parts;
		this.#checkedAt = parts.clock.now();
	}

	/** Identifies the leader and term that the directory's version belongs to. */
	get epoch(): string {
		this.#checkTerm();
		return `${this.#parts.voter.record.id}/${this.#term}`;
	}

	get directory(): Directory {
		this.#checkTerm();
		return this.#directory;
	}

	start(): void {
		this.#checkedAt = this.#parts.clock.now();
		this.#parts.timers.repeat(this.#parts.announceMs, now => {
			this.#removeSilent(now);
		});
	}

	/**
	 * Adds an announcement to the directory.
	 * @throws ValeleadError with UnroutedService or MalformedRequest if the announcement must come from another program. Such a program may use
	 * the address of a real upstream. With NotLeader if this voter cannot tell yet which upstreams have departed.
	 */
	announce(upstream: Upstream): void {
		const known = this.directory.entries.get(upstream.id)?.upstream;
		this.#requireRestored();
		this.#checkAnnouncement(upstream, known);
		const {version} = this.#directory;
		const keeperAddress = this.#managerAddresses.get(upstream.address) ?? '';
		this.#mutateDirectory(() => {
			mutateAnnouncement(this.#directory, {...upstream, keeperAddress}, this.#parts.clock.now());
		});
		const listed = this.#directory.entries.get(upstream.id)?.upstream;
		if (listed && keeperAddress !== '' && this.#directory.version !== version) {
			this.#parts.onEngineModels(listed);
		}

		if (listed && listed.state !== known?.state) {
			this.#log(listed, listed.state);
		}
	}

	/** Sets the address of the process that manages an engine; empty if its own sidecar manages it. */
	setManager(address: string, keeperAddress: string): void {
		if ((this.#managerAddresses.get(address) ?? '') === keeperAddress) {
			return;
		}

		this.#managerAddresses.set(address, keeperAddress);
		this.#mutateDirectory(() => {
			mutateManagerAddress(this.#directory, address, keeperAddress);
		});
	}

	/**
	 * Removes a run from the directory. Returns the run as it has departed.
	 * @throws ValeleadError with NotLeader if this voter cannot tell yet which upstreams have departed: the run may be recorded as draining.
	 */
	depart(run: Run): Upstream {
		this.#checkTerm();
		this.#requireRestored();
		const departed = this.#mutateDirectory(() => mutateDeparture(this.#directory, run, this.#parts.clock.now()));
		this.#log(departed, departed.state);
		return departed;
	}

	#requireRestored(): void {
		if (!this.#isRestored) {
			throw new ValeleadError('This voter cannot be sure which upstreams have departed', {code: RESULT_CODE.NotLeader});
		}
	}

	#checkAnnouncement(upstream: Upstream, known: Upstream | undefined): void {
		const isRouted = this.#parts.getServices()?.has(upstream.service) ?? true;
		if (!isRouted && known?.service !== upstream.service) {
			throw new ValeleadError(`No service "${upstream.service}" is in the routing`, {code: RESULT_CODE.UnroutedService});
		}

		const newestBornAt = getNewestRun(this.directory, upstream.instanceId)?.bornAt ?? 0;
		if (upstream.bornAt === 0 && newestBornAt > 0) {
			throw new ValeleadError('The upstream has told its start before and does not now', {code: RESULT_CODE.MalformedRequest});
		}
	}

	/** After a stall the announcements that arrived meanwhile are still unread, so that upstreams have the whole time once more. */
	#removeSilent(now: number): void {
		const {announceMs} = this.#parts;
		const silenceMs = announceMs * MAX_MISSED_ANNOUNCEMENTS;
		this.#resumedAt = now - this.#checkedAt > announceMs + STALL_MS ? now : this.#resumedAt;
		this.#checkedAt = now;
		this.#checkTerm();
		if (now - this.#resumedAt < silenceMs) {
			return;
		}

		this.#mutateDirectory(() => {
			for (const upstream of mutateSilentUpstreams(this.#directory, silenceMs, now)) {
				this.#log(upstream, 'silent');
			}
		});
	}

	#mutateDirectory<Result>(mutate: () => Result): Result {
		const before = this.#directory.urgentVersion;
		const result = mutate();
		if (this.#directory.urgentVersion !== before) {
			this.#parts.onChange();
		}

		return result;
	}

	#log({id, service, address, sequence}: Upstream, state: string): void {
		this.#parts.logger.info({
			event: 'upstream-state', upstreamId: id, service, address, sequence, state,
		}, 'upstream state changed');
	}

	/** Clears the directory when the term changes: another leader may have received newer announcements in the meantime. */
	#checkTerm(): void {
		const {node} = this.#parts.voter;
		const term = node?.term ?? 0;
		if (term !== this.#term) {
			this.#term = term;
			this.#directory = newDirectory();
			this.#managerAddresses.clear();
			this.#isRestored = false;
		}

		if (!this.#isRestored && node?.canRead) {
			this.#isRestored = true;
			this.#restoreWithdrawals();
		}
	}

	#restoreWithdrawals(): void {
		const {voter, clock, logger} = this.#parts;
		const count = this.#mutateDirectory(() => mutateRestoredWithdrawals(this.#directory, voter.machine.withdrawals, clock.now(), clock.wallNow()));
		if (count > 0) {
			logger.info({event: 'withdrawals-restored', term: this.#term, count}, 'withdrawals of upstreams taken over from earlier terms');
		}
	}
}

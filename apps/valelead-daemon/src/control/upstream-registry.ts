import {
	type Clock, RESULT_CODE, type TimerService, ValeleadError,
} from '@valelead/common';
import {
	type Directory, type Run, type Upstream, UPSTREAM_STATE, getNewestRun, mutateAnnouncement, mutateDeparture, mutateManagerAddress, mutateSilentUpstreams, newDirectory,
} from '@valelead/discovery';
import type {Logger} from 'pino';
import type {Voter} from './voter.js';

type RegistryParts = {
	readonly voter: Voter;
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

/** Directory of the upstreams that have announced themselves to this voter in its current term as the leader. */
export class UpstreamRegistry {
	readonly #parts: RegistryParts;
	#directory: Directory = newDirectory();
	/** Addresses of the processes that manage engines, by the address of the engine. */
	readonly #managerAddresses = new Map<string, string>();
	#term = -1;

	constructor(parts: RegistryParts) {
		this.#parts = parts;
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
		this.#parts.timers.repeat(this.#parts.announceMs, now => {
			this.#removeSilent(now);
		});
	}

	/**
	 * Adds an announcement to the directory. Returns true if the upstream has left the ready state with it.
	 * @throws ValeleadError with UnroutedService or MalformedRequest if the announcement must come from another program. Such a program may use
	 * the address of a real upstream.
	 */
	announce(upstream: Upstream): boolean {
		const known = this.directory.entries.get(upstream.id)?.upstream;
		this.#checkAnnouncement(upstream, known);
		const {version} = this.#directory;
		const keeperAddress = this.#managerAddresses.get(upstream.address) ?? '';
		this.#mutateDirectory(() => {
			mutateAnnouncement(this.#directory, {...upstream, keeperAddress}, this.#parts.clock.now());
		});
		if (keeperAddress !== '' && this.#directory.version !== version) {
			this.#parts.onEngineModels({...upstream, keeperAddress});
		}

		if (known?.state !== upstream.state) {
			this.#log(upstream, upstream.state);
		}

		return upstream.state !== UPSTREAM_STATE.Ready && known?.state !== upstream.state;
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

	depart(run: Run): void {
		this.#checkTerm();
		let known: Upstream | undefined;
		this.#mutateDirectory(() => {
			known = mutateDeparture(this.#directory, run, this.#parts.clock.now());
		});
		if (known) {
			this.#log(known, 'gone');
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

	#removeSilent(now: number): void {
		this.#checkTerm();
		this.#mutateDirectory(() => {
			for (const upstream of mutateSilentUpstreams(this.#directory, this.#parts.announceMs * MAX_MISSED_ANNOUNCEMENTS, now)) {
				this.#log(upstream, 'silent');
			}
		});
	}

	#mutateDirectory(mutate: () => void): void {
		const before = this.#directory.urgentVersion;
		mutate();
		if (this.#directory.urgentVersion !== before) {
			this.#parts.onChange();
		}
	}

	#log({id, service, address, sequence}: Upstream, state: string): void {
		this.#parts.logger.info({
			event: 'upstream-state', upstreamId: id, service, address, sequence, state,
		}, 'upstream state changed');
	}

	/** Clears the directory when the term changes: another leader may have received newer announcements in the meantime. */
	#checkTerm(): void {
		const term = this.#parts.voter.node?.term ?? 0;
		if (term !== this.#term) {
			this.#term = term;
			this.#directory = newDirectory();
			this.#managerAddresses.clear();
		}
	}
}

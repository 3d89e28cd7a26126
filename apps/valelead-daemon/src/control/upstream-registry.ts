import {
	type Clock, RESULT_CODE, type TimerService, ValeleadError,
} from '@valelead/common';
import {
	type Directory, type Run, type Upstream, UPSTREAM_STATE, getNewestRun, mutateAnnouncement, mutateDeparture, mutateKeeper, mutateSilent, newDirectory,
} from '@valelead/discovery';
import type {Logger} from 'pino';
import type {Voter} from './voter.js';

type RegistryParts = {
	readonly voter: Voter;
	/** The services of the routing in force; undefined before there is one. */
	readonly getServices: () => ReadonlySet<string> | undefined;
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** How often upstreams announce themselves, in milliseconds. */
	readonly announceMs: number;
	/** Hears of changes that followers must learn at once. */
	readonly onChange: () => void;
	/** Hears of an engine that holds something else than before and is ordered from another machine. */
	readonly onHoldings: (upstream: Upstream) => void;
};

/** An upstream that missed this many announcements counts as silent. */
const SILENT_ANNOUNCEMENTS = 4;

/** The upstreams that announced themselves to this voter since it leads. */
export class UpstreamRegistry {
	readonly #parts: RegistryParts;
	#directory: Directory = newDirectory();
	/** Where the processes that give orders are reached, by the address of the engine. */
	readonly #keepers = new Map<string, string>();
	#term = -1;

	constructor(parts: RegistryParts) {
		this.#parts = parts;
	}

	/** Names the leadership that the directory's version belongs to. */
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
			this.#dropSilent(now);
		});
	}

	/**
	 * Takes an announcement; returns whether the upstream leaves with it. Throws what shows that another program wrote it, as its address
	 * may be one that a true upstream has: UnroutedService or MalformedRequest.
	 */
	announce(upstream: Upstream): boolean {
		const known = this.directory.entries.get(upstream.id)?.upstream;
		this.#check(upstream, known);
		const {version} = this.#directory;
		const keeperAddress = this.#keepers.get(upstream.address) ?? '';
		this.#change(() => {
			mutateAnnouncement(this.#directory, {...upstream, keeperAddress}, this.#parts.clock.now());
		});
		if (keeperAddress !== '' && this.#directory.version !== version) {
			this.#parts.onHoldings({...upstream, keeperAddress});
		}

		if (known?.state !== upstream.state) {
			this.#log(upstream, upstream.state);
		}

		return upstream.state !== UPSTREAM_STATE.Ready && known?.state !== upstream.state;
	}

	/** Notes where the process is reached that gives an engine its orders; empty for its own sidecar. */
	setKeeper(address: string, keeperAddress: string): void {
		if ((this.#keepers.get(address) ?? '') === keeperAddress) {
			return;
		}

		this.#keepers.set(address, keeperAddress);
		this.#change(() => {
			mutateKeeper(this.#directory, address, keeperAddress);
		});
	}

	depart(run: Run): void {
		this.#checkTerm();
		let known: Upstream | undefined;
		this.#change(() => {
			known = mutateDeparture(this.#directory, run, this.#parts.clock.now());
		});
		if (known) {
			this.#log(known, 'gone');
		}
	}

	#check(upstream: Upstream, known: Upstream | undefined): void {
		const isRouted = this.#parts.getServices()?.has(upstream.service) ?? true;
		if (!isRouted && known?.service !== upstream.service) {
			throw new ValeleadError(`No service "${upstream.service}" is in the routing`, {code: RESULT_CODE.UnroutedService});
		}

		const newestBornAt = getNewestRun(this.directory, upstream.instanceId)?.bornAt ?? 0;
		if (upstream.bornAt === 0 && newestBornAt > 0) {
			throw new ValeleadError('The upstream has told its start before and does not now', {code: RESULT_CODE.MalformedRequest});
		}
	}

	#dropSilent(now: number): void {
		this.#checkTerm();
		this.#change(() => {
			for (const upstream of mutateSilent(this.#directory, this.#parts.announceMs * SILENT_ANNOUNCEMENTS, now)) {
				this.#log(upstream, 'silent');
			}
		});
	}

	#change(mutate: () => void): void {
		const before = this.#directory.urgentVersion;
		mutate();
		if (this.#directory.urgentVersion !== before) {
			this.#parts.onChange();
		}
	}

	#log({id, service, address, sequence}: Upstream, state: string): void {
		this.#parts.logger.info({
			event: 'upstream-state', upstreamId: id, service, address, sequence, state,
		}, 'state of an upstream changed');
	}

	/** What an earlier leadership heard is dropped: another leader may have heard more since. */
	#checkTerm(): void {
		const term = this.#parts.voter.node?.term ?? 0;
		if (term !== this.#term) {
			this.#term = term;
			this.#directory = newDirectory();
			this.#keepers.clear();
		}
	}
}

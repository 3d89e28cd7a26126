import type {Clock, TimerService} from '@valelead/common';
import {type Upstream, UPSTREAM_STATE} from '@valelead/discovery';
import {
	type CrashWatch, type Suspect, type WatchedRun, getReplacedRuns, mutateBroken, mutateCrashed, mutateUnwatched, newCrashWatch,
} from '@valelead/quarantine';
import type {Logger} from 'pino';
import type {StallWatch} from '../stall-watch.js';
import {CRASH_SIGN} from './crash-sign.js';
import type {CrashSignValue} from './crash-sign-value.js';

type ObserverParts = {
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly stalls: Pick<StallWatch, 'isStalled'>;
	/** Whether nobody listens at an address any more. */
	readonly isPortRefused: (address: string) => Promise<boolean>;
	/** Hears of an upstream that crashed, and again when more requests turn out to have been there. */
	readonly onCrash: (run: WatchedRun, isFirst: boolean) => void;
	/** Hears that somebody listens at the address of an upstream to which connections broke. */
	readonly onReachable: (upstreamId: string) => void;
};

type BrokenRun = {
	readonly upstreamId: string;
	readonly address: string;
	readonly suspect: Suspect;
};

const EXPIRY_MS = 1000;

/**
 * An upstream's port is looked at once a connection breaks, and once more after this time, in milliseconds, as connections may break before the
 * port is closed. Without a look a crash shows with the next request sent there, or when the upstream is back after some seconds.
 */
const SECOND_LOOK_MS = 200;

/** Tells an upstream that crashed from a connection that broke alone, and notes which requests were in progress there. */
export class CrashObserver {
	readonly #parts: ObserverParts;
	readonly #watch: CrashWatch = newCrashWatch();
	/** Runs whose ports are being looked at. */
	readonly #looking = new Set<string>();
	/** Runs that announced their end; what breaks off there is planned. */
	#leaving: ReadonlySet<string> = new Set();

	constructor(parts: ObserverParts) {
		this.#parts = parts;
		parts.timers.repeat(EXPIRY_MS, now => {
			mutateUnwatched(this.#watch, now);
		});
	}

	/** Whether what breaks off at an upstream is planned. */
	isLeaving(upstreamId: string): boolean {
		return this.#leaving.has(upstreamId);
	}

	isCrashed(upstreamId: string): boolean {
		return this.#watch.runs.get(upstreamId)?.isCrashed === true;
	}

	/** Takes a connection that an upstream broke off in the middle of a request. */
	recordBrokenConnection({upstreamId, address, suspect}: BrokenRun): void {
		if (this.isLeaving(upstreamId)) {
			return;
		}

		const run = mutateBroken(this.#watch, {runId: upstreamId, address, suspect}, this.#parts.clock.now());
		if (run.isCrashed) {
			this.#parts.onCrash(run, false);
		} else if (!this.#looking.has(upstreamId)) {
			void this.#look(upstreamId, address);
		}
	}

	/** Takes that nobody listens at an upstream's address. */
	recordRefusedConnection(upstreamId: string): void {
		this.#end(upstreamId, CRASH_SIGN.Refused);
	}

	setUpstreams(upstreams: readonly Upstream[]): void {
		const isLeaving = ({state}: Upstream): boolean => state === UPSTREAM_STATE.Draining || state === UPSTREAM_STATE.Gone;
		this.#leaving = new Set(upstreams.filter(upstream => isLeaving(upstream)).map(({id}) => id));
		for (const runId of getReplacedRuns(this.#watch, upstreams)) {
			this.#end(runId, CRASH_SIGN.Replaced);
		}
	}

	async #look(upstreamId: string, address: string): Promise<void> {
		this.#looking.add(upstreamId);
		// After a stall of this process the next run of a crashed upstream may be listening already.
		const isSameRun = !this.#parts.stalls.isStalled;
		let isRefused = await this.#parts.isPortRefused(address);
		if (!isRefused) {
			if (isSameRun) {
				this.#parts.onReachable(upstreamId);
			}

			await this.#parts.timers.wait(SECOND_LOOK_MS);
			isRefused = await this.#parts.isPortRefused(address);
		}

		this.#looking.delete(upstreamId);
		if (isRefused) {
			this.#end(upstreamId, CRASH_SIGN.Refused);
		}
	}

	#end(runId: string, sign: CrashSignValue): void {
		const run = mutateCrashed(this.#watch, runId);
		if (!run) {
			return;
		}

		const {logger, clock, onCrash} = this.#parts;
		const suspects = [...run.suspects.values()];
		logger.warn({
			event: 'upstream-crashed',
			upstreamId: runId,
			address: run.address,
			sign,
			sinceMs: Math.round(clock.now() - run.since),
			suspects: suspects.map(({fingerprint, phase}) => `${fingerprint} ${phase}`),
		}, 'an upstream crashed under requests');
		onCrash(run, true);
	}
}

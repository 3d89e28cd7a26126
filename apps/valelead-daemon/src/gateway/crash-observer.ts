import type {Address, Clock, TimerService} from '@valelead/common';
import {type Upstream, UPSTREAM_STATE} from '@valelead/discovery';
import {
	type CrashWatch, type Suspect, type WatchedRun, getReplacedRuns, mutateBrokenConnection, mutateEndedRun, mutateExpiredWatches, newCrashWatch,
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
	/** Resolves with true if no process listens at an address any more. */
	readonly isPortRefused: (address: Address) => Promise<boolean>;
	/** Called when an upstream has crashed, and again when further requests are found to have been in progress there. */
	readonly onCrash: (run: WatchedRun, isFirst: boolean) => void;
	/** Called when a process still listens at the address of an upstream whose connections broke. */
	readonly onReachable: (upstreamId: string) => void;
};

type BrokenRun = {
	readonly upstreamId: string;
	readonly address: Address;
	readonly suspect: Suspect;
};

const EXPIRY_MS = 1000;

/**
 * Delay between the two probes of an upstream's port after a connection broke, in milliseconds. Two are needed, as connections may break before the
 * port is closed. Without probes, a crash would be detected only by the next request to the upstream, or when it is back after some seconds.
 */
const SECOND_PROBE_DELAY_MS = 200;

/** Maximum number of prompt segments in one log line. */
const MAX_LOGGED_SEGMENTS = 32;

/** Returns the prompt segments of suspects with their phases; truncated to the first few. */
const getSegmentTexts = (suspects: readonly Suspect[]): string[] => {
	const texts = suspects.flatMap(({segments}) => segments?.fingerprints.map(segment => `${segment} ${segments.phase}`) ?? []);
	return [...new Set(texts)].slice(0, MAX_LOGGED_SEGMENTS);
};

/** Distinguishes the crash of an upstream from the loss of a single connection, and records which requests were in progress at each crash. */
export class CrashObserver {
	readonly #parts: ObserverParts;
	readonly #watch: CrashWatch = newCrashWatch();
	/** Ids of the upstream runs whose ports are being probed. */
	readonly #probing = new Set<string>();
	/** Ids of the upstream runs that announced their shutdown, where broken connections are expected. */
	#leaving: ReadonlySet<string> = new Set();

	constructor(parts: ObserverParts) {
		this.#parts = parts;
		parts.timers.repeat(EXPIRY_MS, now => {
			mutateExpiredWatches(this.#watch, now);
		});
	}

	/** Returns true if an upstream is shutting down, so that broken connections there are expected. */
	isLeaving(upstreamId: string): boolean {
		return this.#leaving.has(upstreamId);
	}

	isCrashed(upstreamId: string): boolean {
		return this.#watch.runs.get(upstreamId)?.isCrashed === true;
	}

	/** Records a connection that an upstream closed or reset while a request was in progress on it. */
	recordBrokenConnection({upstreamId, address, suspect}: BrokenRun): void {
		if (this.isLeaving(upstreamId)) {
			return;
		}

		const run = mutateBrokenConnection(this.#watch, {runId: upstreamId, address, suspect}, this.#parts.clock.now());
		if (run.isCrashed) {
			this.#parts.onCrash(run, false);
		} else if (!this.#probing.has(upstreamId)) {
			void this.#probe(upstreamId, address);
		}
	}

	/** Records that an upstream's address refused a connection. */
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

	async #probe(upstreamId: string, address: Address): Promise<void> {
		this.#probing.add(upstreamId);
		// After a stall of this process, the next run of a crashed upstream may already listen at the address.
		const isSameRun = !this.#parts.stalls.isStalled;
		let isRefused = await this.#parts.isPortRefused(address);
		if (!isRefused) {
			if (isSameRun) {
				this.#parts.onReachable(upstreamId);
			}

			await this.#parts.timers.wait(SECOND_PROBE_DELAY_MS);
			isRefused = await this.#parts.isPortRefused(address);
		}

		this.#probing.delete(upstreamId);
		if (isRefused) {
			this.#end(upstreamId, CRASH_SIGN.Refused);
		}
	}

	#end(runId: string, sign: CrashSignValue): void {
		const run = mutateEndedRun(this.#watch, runId);
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
			segments: getSegmentTexts(suspects),
		}, 'an upstream crashed under requests');
		onCrash(run, true);
	}
}

import {getMergedSuspect} from './get-merged-suspect.js';
import type {CrashWatch} from './crash-watch.js';
import type {Suspect} from './suspect.js';
import type {WatchedRun} from './watched-run.js';

/** A connection to a run of an upstream that broke while a request was in progress on it. */
type BrokenConnection = {
	readonly runId: string;
	readonly address: string;
	readonly suspect: Suspect;
};

/** Maximum number of watched runs; a new one replaces the oldest. This is several times the number of upstreams that crash within `WATCH_MS`. */
const MAX_RUNS = 64;

/** Maximum number of suspects per run at one gateway: more than its share of the concurrency limit of any known upstream. */
const MAX_SUSPECTS = 256;

const newRun = (watch: CrashWatch, {runId, address}: BrokenConnection, now: number): WatchedRun => {
	if (watch.runs.size >= MAX_RUNS) {
		const [oldest] = watch.runs.keys();
		watch.runs.delete(oldest);
	}

	const run: WatchedRun = {
		runId, address, since: now, suspects: new Map(), isCrashed: false,
	};
	watch.runs.set(runId, run);
	return run;
};

/** Records a connection that broke before the response to its request was complete, and returns the watched run of its upstream. */
export const mutateBrokenConnection = (watch: CrashWatch, connection: BrokenConnection, now: number): WatchedRun => {
	const {runId, suspect} = connection;
	const run = watch.runs.get(runId) ?? newRun(watch, connection, now);
	const known = run.suspects.get(suspect.fingerprint);
	if (known !== undefined || run.suspects.size < MAX_SUSPECTS) {
		run.suspects.set(suspect.fingerprint, getMergedSuspect(known, suspect));
	}

	return run;
};

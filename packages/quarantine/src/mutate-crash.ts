import {isRecentlyServed} from './is-recently-served.js';
import {getMergedSuspect} from './get-merged-suspect.js';
import {mutateLastServedTimes} from './mutate-last-served-times.js';
import type {Crash} from './crash.js';
import type {CrashLedger} from './crash-ledger.js';
import type {CrashRecord} from './crash-record.js';
import type {Suspect} from './suspect.js';
import {mutateRemovedCrash} from './mutate-removed-crash.js';

/**
 * Maximum number of crashes in the ledger; a new one replaces the oldest. The ledger covers two minutes at two crashes a second, which is the
 * rate of six engines that all crash again after each restart.
 */
const MAX_CRASHES = 256;

/** Maximum number of suspects per crash over all gateways: six times the highest number seen. The ledger then takes about 10 MB at most. */
const MAX_SUSPECTS = 256;

const newRecord = (ledger: CrashLedger, runId: string, now: number, isPartial: boolean): CrashRecord => {
	if (ledger.crashes.size >= MAX_CRASHES) {
		const [oldest] = ledger.crashes.values();
		mutateRemovedCrash(ledger, oldest);
	}

	const record: CrashRecord = {
		runId, at: now, suspects: new Map(), isPartial,
	};
	ledger.crashes.set(runId, record);
	return record;
};

/** Adds a suspect to a crash unless it was served recently; returns true if this changed the record. */
const mutateSuspect = (ledger: CrashLedger, record: CrashRecord, suspect: Suspect, now: number): boolean => {
	if (isRecentlyServed(ledger.lastServedTimes, suspect.fingerprint, now)) {
		return false;
	}

	for (const segment of suspect.segments?.provenBefore ?? []) {
		mutateLastServedTimes(ledger.earlierSegmentProofs, segment, record.at);
	}

	const known = record.suspects.get(suspect.fingerprint);
	const merged = getMergedSuspect(known, suspect);
	const isNew = merged !== known && (known !== undefined || record.suspects.size < MAX_SUSPECTS);
	if (isNew) {
		record.suspects.set(suspect.fingerprint, merged);
		const runs = ledger.runsBySuspect.get(suspect.fingerprint) ?? new Set();
		ledger.runsBySuspect.set(suspect.fingerprint, runs.add(record.runId));
	}

	return isNew;
};

/**
 * Adds one gateway's report of a crash to the ledger; returns true if the ledger changed. Repeated reports have no effect.
 * @param isPartial - True if other gateways may still report the crash; used only for the first report of a crash.
 */
export const mutateCrash = (ledger: CrashLedger, {runId, suspects}: Crash, now: number, isPartial = false): boolean => {
	const record = ledger.crashes.get(runId) ?? newRecord(ledger, runId, now, isPartial);
	let isNew = false;
	for (const suspect of suspects) {
		isNew = mutateSuspect(ledger, record, suspect, now) || isNew;
	}

	return isNew;
};

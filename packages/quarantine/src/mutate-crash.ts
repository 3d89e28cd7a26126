import {isServedLately} from './is-served-lately.js';
import {getMergedSuspect} from './get-merged-suspect.js';
import type {Crash} from './crash.js';
import type {CrashLedger} from './crash-ledger.js';
import type {CrashRecord} from './crash-record.js';
import type {Suspect} from './suspect.js';
import {mutateRemovedCrash} from './mutate-removed-crash.js';

/** Crashes that are kept; the oldest makes way. At two crashes a second, as many as six of six engines that come back make, two minutes. */
const MAX_CRASHES = 256;

/** Suspects of one crash over all gateways that are kept: six times the most seen. All crashes together take some 10 MB at worst. */
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

const mutateSuspect = (ledger: CrashLedger, record: CrashRecord, suspect: Suspect, now: number): boolean => {
	if (isServedLately(ledger.served, suspect.fingerprint, now)) {
		return false;
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
 * Takes what one gateway tells of a crash; returns whether any of it is new. The same may be told again.
 * @param isPartial - Whether other gateways may tell of the crash later; counts where it was not known before.
 */
export const mutateCrash = (ledger: CrashLedger, {runId, suspects}: Crash, now: number, isPartial = false): boolean => {
	const record = ledger.crashes.get(runId) ?? newRecord(ledger, runId, now, isPartial);
	let isNew = false;
	for (const suspect of suspects) {
		isNew = mutateSuspect(ledger, record, suspect, now) || isNew;
	}

	return isNew;
};

import {QUARANTINE_BLAME} from './quarantine-blame.js';
import {SUSPECT_PHASE} from './suspect-phase.js';
import type {CrashLedger} from './crash-ledger.js';

/** Crashes at which a request had just begun that are enough, however many others shared them. */
const BEGUN_CRASHES = 4;

/**
 * The blame for a request that had just begun at every crash, though others always had as well. Guilty requests that come together share each crash, and
 * an innocent one does not begin with them four times.
 */
export const getBegunBlame = (ledger: CrashLedger, fingerprint: string): number => {
	const runs = [...ledger.runsBySuspect.get(fingerprint) ?? []];
	const begun = runs.filter(runId => ledger.crashes.get(runId)!.suspects.get(fingerprint)!.phase === SUSPECT_PHASE.Begun);
	return begun.length >= BEGUN_CRASHES ? QUARANTINE_BLAME : 0;
};

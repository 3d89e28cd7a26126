import {QUARANTINE_BLAME} from './quarantine-blame.js';
import {SUSPECT_PHASE} from './suspect-phase.js';
import type {CrashLedger} from './crash-ledger.js';

/** Crashes at which a request had just begun that are enough, however many others shared them. */
const BEGUN_CRASHES = 3;

/**
 * The blame for a request that had just begun at every crash, though others always had as well. Guilty requests that come together share each crash. An
 * innocent one does not begin with them three times, as it is given no second upstream after a crash at which it had just begun, and it runs for a while
 * where no guilty one is.
 */
export const getBegunBlame = (ledger: CrashLedger, fingerprint: string): number => {
	const runs = [...ledger.runsBySuspect.get(fingerprint) ?? []];
	const phases = runs.map(runId => ledger.crashes.get(runId)!.suspects.get(fingerprint)!.phase);
	const begun = phases.filter(phase => phase === SUSPECT_PHASE.Begun);
	return begun.length >= BEGUN_CRASHES && !phases.includes(SUSPECT_PHASE.Running) ? QUARANTINE_BLAME : 0;
};

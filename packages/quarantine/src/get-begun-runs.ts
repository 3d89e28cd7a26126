import {SUSPECT_PHASE} from './suspect-phase.js';
import type {CrashLedger} from './crash-ledger.js';

/**
 * Returns the ids of the crashed runs at which a request was in phase `SUSPECT_PHASE.Begun`. Returns none if the request was in phase
 * `SUSPECT_PHASE.Running` at any crash, because it ran there for some time without harm.
 */
export const getBegunRuns = (ledger: CrashLedger, fingerprint: string): string[] => {
	const runs = [...ledger.runsBySuspect.get(fingerprint) ?? []];
	const getPhase = (runId: string) => ledger.crashes.get(runId)!.suspects.get(fingerprint)!.phase;
	return runs.some(runId => getPhase(runId) === SUSPECT_PHASE.Running) ? [] : runs.filter(runId => getPhase(runId) === SUSPECT_PHASE.Begun);
};

import {getSingleCrashScore} from './get-single-crash-score.js';
import type {CrashEvidence} from './crash-evidence.js';
import type {CrashLedger} from './crash-ledger.js';

/** Maximum number of other requests that are listed for each crash. */
const MAX_OTHER_REQUESTS = 8;

/** Maximum number of crashes that are listed for a request: more than a quarantine decision needs. */
const MAX_CRASHES = 12;

/** Returns the most recent crashes at which a request was in progress, with its score for each and the other requests there. */
export const getCrashEvidence = (ledger: CrashLedger, fingerprint: string, now: number): CrashEvidence[] =>
	[...ledger.runsBySuspect.get(fingerprint) ?? []].slice(-MAX_CRASHES).map(runId => {
		const record = ledger.crashes.get(runId)!;
		const others = [...record.suspects.values()].filter(suspect => suspect.fingerprint !== fingerprint);
		return {
			upstreamId: runId,
			ageMs: Math.round(now - record.at),
			phase: record.suspects.get(fingerprint)!.phase,
			blame: getSingleCrashScore(ledger, record, fingerprint),
			others: others.slice(0, MAX_OTHER_REQUESTS).map(suspect => `${suspect.fingerprint} ${suspect.phase}`),
			otherCount: others.length,
		};
	});

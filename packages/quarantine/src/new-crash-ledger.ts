import type {CrashLedger} from './crash-ledger.js';

/** Creates an empty crash ledger. */
export const newCrashLedger = (): CrashLedger => ({
	crashes: new Map(),
	runsBySuspect: new Map(),
	quarantined: new Set(),
	halfOpen: new Set(),
	lastServedTimes: new Map(),
	quarantinedSegments: new Map(),
	halfOpenSegments: new Map(),
	segmentProofs: new Map(),
	earlierSegmentProofs: new Map(),
});

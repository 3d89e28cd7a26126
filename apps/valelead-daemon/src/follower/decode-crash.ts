import type {CrashSuspect, UpstreamCrash} from '@valelead/protocol';
import type {Crash, Suspect, SuspectPhaseValue} from '@valelead/quarantine';
import {decodeFingerprint} from './decode-fingerprint.js';

const decodeFingerprints = (fingerprints: readonly Uint8Array[]): string[] => fingerprints.map(fingerprint => decodeFingerprint(fingerprint));

const decodeSuspect = ({fingerprint, phase, segments, segmentPhase, segmentsProvenBefore}: CrashSuspect): Suspect => ({
	fingerprint: decodeFingerprint(fingerprint),
	phase: phase as SuspectPhaseValue,
	...(segments.length > 0 && {
		segments: {fingerprints: decodeFingerprints(segments), provenBefore: decodeFingerprints(segmentsProvenBefore), phase: segmentPhase as SuspectPhaseValue},
	}),
});

/** Decodes a crash from the report of a gateway. */
export const decodeCrash = ({runId, suspects}: UpstreamCrash): Crash => ({runId, suspects: suspects.map(suspect => decodeSuspect(suspect))});

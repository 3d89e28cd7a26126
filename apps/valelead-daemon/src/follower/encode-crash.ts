import {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import {type UpstreamCrash, UpstreamCrashSchema} from '@valelead/protocol';
import type {Crash} from '@valelead/quarantine';

/** Encodes a crash for a report to the leader. */
export const encodeCrash = ({runId, suspects}: Crash): UpstreamCrash => create(UpstreamCrashSchema, {
	runId,
	suspects: suspects.map(({fingerprint, phase, segments}) => ({
		fingerprint: Buffer.from(fingerprint, 'hex'),
		phase,
		segments: segments?.fingerprints.map(segment => Buffer.from(segment, 'hex')) ?? [],
		segmentPhase: segments?.phase ?? '',
		segmentsProvenBefore: segments?.provenBefore.map(segment => Buffer.from(segment, 'hex')) ?? [],
	})),
});

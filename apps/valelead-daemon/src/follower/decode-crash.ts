import {Buffer} from 'node:buffer';
import type {UpstreamCrash} from '@valelead/protocol';
import type {Crash, SuspectPhaseValue} from '@valelead/quarantine';

/** Decodes a crash from the report of a gateway. */
export const decodeCrash = ({runId, suspects}: UpstreamCrash): Crash => ({
	runId,
	suspects: suspects.map(({fingerprint, phase}) => ({fingerprint: Buffer.from(fingerprint).toString('hex'), phase: phase as SuspectPhaseValue})),
});

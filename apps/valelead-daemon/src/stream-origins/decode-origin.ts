import {Buffer} from 'node:buffer';
import type {StreamOriginRecord} from '@valelead/protocol';
import type {OriginRecord} from '@valelead/stream-origin';

/** Decodes an origin that arrived at `now`, in monotonic milliseconds. */
export const decodeOrigin = ({key, service, softwareVersion, runId, lifetimeMs}: StreamOriginRecord, now: number): OriginRecord => ({
	key: Buffer.from(key).toString('hex'), service, softwareVersion, runId, expiresAt: now + lifetimeMs,
});

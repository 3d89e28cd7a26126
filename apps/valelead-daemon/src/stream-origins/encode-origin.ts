import {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import {type StreamOriginRecord, StreamOriginRecordSchema} from '@valelead/protocol';
import type {OriginRecord} from '@valelead/stream-origin';

/** Encodes an origin. The receiver counts the record's lifetime from `now`, as the clocks of two processes cannot be compared. */
export const encodeOrigin = ({key, service, softwareVersion, runId, expiresAt}: OriginRecord, now: number): StreamOriginRecord => create(StreamOriginRecordSchema, {
	key: Buffer.from(key, 'hex'), service, softwareVersion, runId, lifetimeMs: Math.max(0, expiresAt - now),
});

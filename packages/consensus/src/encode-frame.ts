import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import {FRAME_LAYOUT} from './frame-layout.js';

/** Encodes a batch of records as one checksummed frame. */
export const encodeFrame = (records: readonly unknown[]): Buffer => {
	const body = Buffer.from(JSON.stringify(records), 'utf8');
	const header = Buffer.alloc(FRAME_LAYOUT.HeaderBytes);
	header.writeUInt32LE(body.length, FRAME_LAYOUT.LengthOffset);
	header.writeUInt32LE(crc32(header.subarray(0, FRAME_LAYOUT.LengthChecksumOffset)), FRAME_LAYOUT.LengthChecksumOffset);
	header.writeUInt32LE(crc32(body), FRAME_LAYOUT.BodyChecksumOffset);
	return Buffer.concat([header, body]);
};

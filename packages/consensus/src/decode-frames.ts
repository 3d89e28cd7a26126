import type {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import {RESULT_CODE, ValeleadError} from '@valelead/common';
import {FRAME_LAYOUT} from './frame-layout.js';

type Frame = {
	readonly records: readonly unknown[];
	readonly end: number;
};

type DecodedFrames = {
	readonly records: ReadonlyArray<readonly unknown[]>;
	/** Bytes up to the end of the last whole frame. */
	readonly validLength: number;
};

const decodeFrame = (bytes: Buffer, start: number): Frame | undefined => {
	const bodyStart = start + FRAME_LAYOUT.HeaderBytes;
	if (bodyStart > bytes.length) {
		return undefined;
	}

	const length = bytes.readUInt32LE(start + FRAME_LAYOUT.LengthOffset);
	const lengthBytes = bytes.subarray(start, start + FRAME_LAYOUT.LengthChecksumOffset);
	if (crc32(lengthBytes) !== bytes.readUInt32LE(start + FRAME_LAYOUT.LengthChecksumOffset)) {
		return undefined;
	}

	const end = bodyStart + length;
	const body = bytes.subarray(bodyStart, end);
	if (end > bytes.length || crc32(body) !== bytes.readUInt32LE(start + FRAME_LAYOUT.BodyChecksumOffset)) {
		return undefined;
	}

	return {records: JSON.parse(body.toString('utf8')) as unknown[], end};
};

const hasFrameAfter = (bytes: Buffer, start: number): boolean => {
	for (let offset = start + 1; offset + FRAME_LAYOUT.HeaderBytes < bytes.length; offset += 1) {
		if (bytes.readUInt32LE(offset) > 0 && decodeFrame(bytes, offset)) {
			return true;
		}
	}

	return false;
};

/**
 * Reads whole frames. A frame torn at the end was never acknowledged and is cut; a bad frame that
 * whole frames follow means that acknowledged records are damaged, which is an error.
 */
export const decodeFrames = (bytes: Buffer): DecodedFrames => {
	const records: Array<readonly unknown[]> = [];
	let offset = 0;
	while (offset < bytes.length) {
		const frame = decodeFrame(bytes, offset);
		if (!frame) {
			break;
		}

		records.push(frame.records);
		offset = frame.end;
	}

	if (offset < bytes.length && hasFrameAfter(bytes, offset)) {
		throw new ValeleadError(`The log is damaged at byte ${offset}`, {code: RESULT_CODE.CorruptLog});
	}

	return {records, validLength: offset};
};

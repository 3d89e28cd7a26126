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
	/** Number of bytes up to the end of the last complete frame. */
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
 * Decodes all complete frames of a log file. An incomplete frame at the end was never acknowledged and is ignored. An invalid frame that is
 * followed by a valid one means that acknowledged records are damaged.
 * @throws ValeleadError with the code CorruptLog if acknowledged records are damaged.
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

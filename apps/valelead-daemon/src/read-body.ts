import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {RESULT_CODE, ValeleadError} from '@valelead/common';

/** Reads a complete message body. Throws BodyTooLarge if the body has more than `maxBytes` bytes. */
export const readBody = async (message: IncomingMessage, maxBytes: number): Promise<Buffer> => {
	const chunks: Buffer[] = [];
	let length = 0;
	for await (const chunk of message) {
		length += (chunk as Buffer).length;
		if (length > maxBytes) {
			throw new ValeleadError(`The body has more than ${maxBytes} bytes`, {code: RESULT_CODE.BodyTooLarge});
		}

		chunks.push(chunk as Buffer);
	}

	return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
};

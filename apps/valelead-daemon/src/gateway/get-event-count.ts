import type {Buffer} from 'node:buffer';

const LINE_FEED = 0x0A;
const CARRIAGE_RETURN = 0x0D;

/**
 * Returns the number of blank lines that end in a chunk of an event stream, that is, of the events that are complete with it if the stream has no
 * comments. Chunks that hold several events, or a part of one, are counted right over several chunks.
 */
export const getEventCount = (chunk: Buffer): number => {
	let count = 0;
	for (let index = chunk.indexOf(LINE_FEED); index !== -1; index = chunk.indexOf(LINE_FEED, index + 1)) {
		const previous = index > 0 && chunk[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
		if (previous >= 0 && chunk[previous] === LINE_FEED) {
			count += 1;
		}
	}

	return count;
};

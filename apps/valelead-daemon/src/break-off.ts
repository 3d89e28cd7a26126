import type {ServerResponse} from 'node:http';

/** The first version of HTTP in which answers have chunks. */
const HTTP_WITH_CHUNKS = '1.1';

/**
 * Ends an answer that is not whole, so that its caller can tell. Where the last chunk or a part of the length is missing, the end of
 * the connection does; to callers without chunks an orderly end means that the answer is whole, and only a reset tells.
 */
export const breakOff = (response: ServerResponse): void => {
	if (response.req.httpVersion < HTTP_WITH_CHUNKS) {
		response.socket?.resetAndDestroy();
	}

	response.destroy();
};

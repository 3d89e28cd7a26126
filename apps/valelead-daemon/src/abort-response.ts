import type {ServerResponse} from 'node:http';
import {resetConnection} from '@valelead/common';

/** The first version of HTTP with chunked transfer encoding. */
const CHUNKED_HTTP_VERSION = '1.1';

/**
 * Aborts an incomplete response so that the caller detects the truncation. With chunked encoding or a content length, closing the connection
 * is enough, as the last chunk or some of the bytes are missing. An HTTP/1.0 caller takes an orderly close as the end of a complete response, so its
 * connection is reset.
 */
export const abortResponse = (response: ServerResponse): void => {
	if (response.req.httpVersion < CHUNKED_HTTP_VERSION && response.socket) {
		resetConnection(response.socket);
	}

	response.destroy();
};

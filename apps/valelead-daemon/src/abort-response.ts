import type {ServerResponse} from 'node:http';
import process from 'node:process';
import {resetConnection} from '@valelead/common';

/** The first version of HTTP with chunked transfer encoding. */
const CHUNKED_HTTP_VERSION = '1.1';

/** The most data of an aborted response that is still sent, in bytes. A caller that leaves more unread is disconnected at once, to free the memory. */
const MAX_UNSENT_BYTES = 131_072;

/**
 * Aborts an incomplete response so that the caller detects the truncation, and still receives the responses before it on the connection. With chunked encoding
 * or a content length, closing the connection in order is enough, as the last chunk or some of the bytes are missing. An HTTP/1.0 caller takes an orderly
 * close as the end of a complete response, so its connection is reset.
 */
export const abortResponse = (response: ServerResponse): void => {
	const {socket, destroyed, req, writableLength} = response;
	if (destroyed) {
		return;
	}

	if (!socket) {
		// The responses before it on its connection are not finished.
		response.once('socket', () => {
			abortResponse(response);
		});
		return;
	}

	if (req.httpVersion >= CHUNKED_HTTP_VERSION && writableLength > MAX_UNSENT_BYTES) {
		response.destroy();
		return;
	}

	// Node.js destroys the connection together with a response that it is assigned to.
	response.detachSocket(socket);
	response.destroy();
	process.nextTick(() => {
		response.emit('close');
	});
	if (req.httpVersion < CHUNKED_HTTP_VERSION) {
		resetConnection(socket);
	} else {
		socket.destroySoon();
	}
};

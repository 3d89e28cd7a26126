import type {IncomingHttpHeaders} from 'node:http';
import {RESPONSE_FRAMING} from './response-framing.js';
import type {ResponseFramingValue} from './response-framing-value.js';

type ResponseHead = {
	/** HTTP method of the request. */
	readonly method: string;
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
};

/** Status codes of responses that never have a body: 204 No Content and 304 Not Modified. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Matches a `Transfer-Encoding` whose last coding is chunked. With any other last coding, the end of the connection delimits the body. */
const LAST_CODING_CHUNKED = /(?:^|,)\s*chunked\s*$/iv;

/** Returns how the body of a response is delimited (RFC 9112, section 6.3). */
export const getResponseFraming = ({method, status, headers}: ResponseHead): ResponseFramingValue => {
	if (method === 'HEAD' || BODYLESS_STATUSES.has(status)) {
		return RESPONSE_FRAMING.Bodyless;
	}

	const coding = headers['transfer-encoding'];
	if (coding !== undefined) {
		return LAST_CODING_CHUNKED.test(coding) ? RESPONSE_FRAMING.Chunks : RESPONSE_FRAMING.Connection;
	}

	return headers['content-length'] === undefined ? RESPONSE_FRAMING.Connection : RESPONSE_FRAMING.Length;
};

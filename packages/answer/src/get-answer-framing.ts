import type {IncomingHttpHeaders} from 'node:http';
import {ANSWER_FRAMING} from './answer-framing.js';
import type {AnswerFramingValue} from './answer-framing-value.js';

type AnswerTerms = {
	/** Of the request. */
	readonly method: string;
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
};

/** Statuses of answers that never have a body: 204 No Content and 304 Not Modified. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** An answer whose last transfer coding is another one goes on until its connection ends. */
const LAST_CODING_CHUNKED = /(?:^|,)\s*chunked\s*$/iv;

/** How the end of an answer's body is known (RFC 9112, section 6.3). */
export const getAnswerFraming = ({method, status, headers}: AnswerTerms): AnswerFramingValue => {
	if (method === 'HEAD' || BODYLESS_STATUSES.has(status)) {
		return ANSWER_FRAMING.Bodyless;
	}

	const coding = headers['transfer-encoding'];
	if (coding !== undefined) {
		return LAST_CODING_CHUNKED.test(coding) ? ANSWER_FRAMING.Chunks : ANSWER_FRAMING.Connection;
	}

	return headers['content-length'] === undefined ? ANSWER_FRAMING.Connection : ANSWER_FRAMING.Length;
};

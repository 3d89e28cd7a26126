import {isHeaderName} from '@valelead/common';

type RequestHead = {
	readonly url: string;
	/** Headers as name, value, name, value … */
	readonly rawHeaders: readonly string[];
};

/** Matches the URLs that Node.js writes; it reads others, with tabs and form feeds, and throws at them. */
const WRITABLE_URL = /^[\u{21}-\u{FF}]+$/v;

/** Returns true if the head of a caller's request can be sent to an upstream. */
export const isForwardable = ({url, rawHeaders}: RequestHead): boolean =>
	WRITABLE_URL.test(url) && rawHeaders.every((text, position) => position % 2 === 1 || isHeaderName(text));

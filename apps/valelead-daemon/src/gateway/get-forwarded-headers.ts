import {isHeaderName} from '@valelead/common';

/** Hop-by-hop headers, which concern one connection only, in lower case. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect']);

const LENGTH_HEADER = 'content-length';

/**
 * Returns the headers to forward: all except hop-by-hop headers, the headers that a Connection header names, Content-Length, and headers with names that
 * cannot be written.
 * @param rawHeaders - Headers as name, value, name, value …
 */
export const getForwardedHeaders = (rawHeaders: readonly string[]): string[] => {
	const named = new Set<string>();
	for (let index = 0; index < rawHeaders.length; index += 2) {
		if (rawHeaders[index].toLowerCase() === 'connection') {
			for (const name of rawHeaders[index + 1].split(',')) {
				named.add(name.trim().toLowerCase());
			}
		}
	}

	const forwarded: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index].toLowerCase();
		if (name !== LENGTH_HEADER && !CONNECTION_HEADERS.has(name) && !named.has(name) && isHeaderName(name)) {
			forwarded.push(rawHeaders[index], rawHeaders[index + 1]);
		}
	}

	return forwarded;
};

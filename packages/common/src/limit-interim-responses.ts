import type {ClientRequest} from 'node:http';

/** The most interim responses (1xx) to one request. Upstreams send one or two, and each of them costs processor time but no memory. */
const MAX_INTERIM_RESPONSES = 16;

/**
 * Calls the function with the reason once a request gets more interim responses than are expected. Node.js parses what it has read to its end, which may be
 * another 1,500 interim responses, so no more of them are counted.
 */
export const limitInterimResponses = (request: ClientRequest, onExcess: (reason: string) => void): void => {
	let count = 0;
	const add = (): void => {
		count += 1;
		if (count > MAX_INTERIM_RESPONSES) {
			request.off('information', add);
			onExcess(`more than ${MAX_INTERIM_RESPONSES} interim answers`);
		}
	};

	request.on('information', add);
};

import type {ClientRequest} from 'node:http';

/** The most interim responses (1xx) to one request. Upstreams send one or two, and each of them costs processor time but no memory. */
const MAX_INTERIM_RESPONSES = 16;

/** Calls the function with the reason for each interim response to a request beyond the most that are expected. */
export const limitInterimResponses = (request: ClientRequest, onExcess: (reason: string) => void): void => {
	let count = 0;
	request.on('information', () => {
		count += 1;
		if (count > MAX_INTERIM_RESPONSES) {
			onExcess(`more than ${MAX_INTERIM_RESPONSES} interim answers`);
		}
	});
};

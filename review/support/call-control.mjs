import {callHttp} from './call-http.mjs';

const MAX_REDIRECTS = 2;

const callOne = async (address, call, redirects) => {
	const answer = await callHttp({...call, address});
	if (answer.status !== 307) {
		return answer;
	}

	if (redirects === 0) {
		throw new Error('redirected too often');
	}

	const {host, pathname} = new URL(answer.headers.location);
	return callOne(host, {...call, path: pathname}, redirects - 1);
};

/** A call of an operator or an upstream: follows two redirects, and moves on to the next daemon after a failure, a 5xx, a 408 or a 429. */
export const callControl = async (addresses, call) => {
	let reason;
	for (const address of addresses) {
		try {
			const answer = await callOne(address, call, MAX_REDIRECTS);
			if (answer.status < 500 && answer.status !== 408 && answer.status !== 429) {
				return answer;
			}

			reason = new Error(`status ${answer.status}`);
		} catch (error) {
			reason = error;
		}
	}

	throw reason;
};

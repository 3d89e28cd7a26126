import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';

/** One HTTP call; rejects if it gets no whole answer in time. */
export const call = async ({host, port, method = 'GET', path, headers = {}, body = '', timeoutMs = 1000, agent = false}) => new Promise((resolve, reject) => {
	const outgoing = request({
		host, port, method, path, agent, headers: {...headers, ...((body !== '' || method === 'POST') && {'content-length': Buffer.byteLength(body)})},
	});
	const timer = setTimeout(() => {
		outgoing.destroy(new Error('no answer in time'));
	}, timeoutMs);
	outgoing.on('error', error => {
		clearTimeout(timer);
		reject(error);
	});
	outgoing.on('response', answer => {
		const chunks = [];
		answer.on('data', chunk => chunks.push(chunk));
		answer.on('error', reject);
		answer.on('end', () => {
			clearTimeout(timer);
			if (answer.complete) {
				resolve({status: answer.statusCode, headers: answer.headers, text: Buffer.concat(chunks).toString()});
			} else {
				reject(new Error('the answer broke off'));
			}
		});
	});
	outgoing.end(body);
});

const MAX_REDIRECTS = 2;

/** A call of the operator or an engine to one daemon that serves `control`; follows 307 twice. */
export const callDaemon = async (address, options) => {
	let target = address;
	for (let redirects = 0; ; redirects += 1) {
		const [host, port] = target.split(':');
		const answer = await call({host, port: Number(port), ...options});
		if (answer.status !== 307 || redirects === MAX_REDIRECTS) {
			return {...answer, address: target};
		}

		target = new URL(answer.headers.location).host;
	}
};

const isClear = status => status < 500 && status !== 408 && status !== 429 && status !== 307;

/** Calls the daemons in turn, with growing pauses, until one gives a clear answer. */
export const callControl = async (addresses, options, endsAt = Date.now() + 30_000) => {
	for (let attempt = 0; Date.now() < endsAt; attempt += 1) {
		try {
			const answer = await callDaemon(addresses[attempt % addresses.length], options);
			if (isClear(answer.status)) {
				return answer;
			}
		} catch {
			// The next daemon is called.
		}

		await wait(Math.min(800, 50 * (2 ** Math.min(attempt, 4))));
	}

	throw new Error(`no clear answer to ${options.method} ${options.path}`);
};

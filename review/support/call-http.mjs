import {request} from 'node:http';
import {Buffer} from 'node:buffer';

/**
 * One HTTP call on a connection of its own, unless an agent is given; rejects where no whole answer comes in time, with an error that tells whether the
 * connection had been used before.
 */
export const callHttp = async ({address, method = 'GET', path, headers = {}, body = '', agent = false, timeoutMs = 1000}) => new Promise((resolve, reject) => {
	const [host, port] = address.split(':');
	const outgoing = request({
		host, port: Number(port), method, path, agent, headers: {...headers, ...(body !== '' && {'content-length': Buffer.byteLength(body)})},
	});
	const timer = setTimeout(() => {
		outgoing.destroy(new Error('no answer in time'));
	}, timeoutMs);
	const fail = error => {
		clearTimeout(timer);
		reject(Object.assign(error, {isReused: outgoing.reusedSocket}));
	};

	outgoing.on('error', fail);
	outgoing.on('response', answer => {
		const chunks = [];
		answer.on('data', chunk => {
			chunks.push(chunk);
		});
		answer.on('error', fail);
		answer.on('end', () => {
			clearTimeout(timer);
			resolve({status: answer.statusCode, headers: answer.headers, text: Buffer.concat(chunks).toString()});
		});
	});
	outgoing.end(body);
});

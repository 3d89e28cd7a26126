import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo, connect} from 'node:net';

type CallerView = {
	readonly text: string;
	/** How the connection ended, as the caller saw it. */
	readonly end: 'closed' | 'reset';
};

/** Sends a request over a plain TCP connection to a server that runs `answer`, and resolves with the response as the caller sees it. */
export const sendRawRequest = async (version: string, answer: (response: ServerResponse) => void): Promise<CallerView> => {
	const server = createServer((_message, response) => {
		answer(response);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	const sight = new Promise<CallerView>(resolve => {
		let text = '';
		let end: CallerView['end'] = 'closed';
		socket.on('data', chunk => {
			text += chunk.toString();
		});
		socket.on('error', () => {
			end = 'reset';
		});
		socket.on('close', () => {
			resolve({text, end});
		});
	});
	socket.write(`GET / HTTP/${version}\r\nHost: a\r\n\r\n`);
	const seen = await sight;
	server.close();
	return seen;
};

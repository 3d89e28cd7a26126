import type {IncomingMessage} from 'node:http';

/** The JSON body of a request. */
export const readJson = async (message: IncomingMessage): Promise<Record<string, unknown>> => {
	let text = '';
	for await (const chunk of message) {
		text += String(chunk);
	}

	return text === '' ? {} : JSON.parse(text) as Record<string, unknown>;
};

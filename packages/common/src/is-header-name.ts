import {validateHeaderName} from 'node:http';

/** True if a text can be sent as the name of a header. Node.js reads further names, such as an empty one and one with a space, and throws at writing them. */
export const isHeaderName = (text: string): boolean => {
	try {
		validateHeaderName(text);
		return true;
	} catch {
		// The text is no token.
		return false;
	}
};

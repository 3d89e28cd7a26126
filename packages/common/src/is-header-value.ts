import {validateHeaderValue} from 'node:http';

/** True if a text can be sent as the value of a header. */
export const isHeaderValue = (text: string): boolean => {
	try {
		validateHeaderValue('value', text);
		return true;
	} catch {
		// The text has a character that headers must not have.
		return false;
	}
};

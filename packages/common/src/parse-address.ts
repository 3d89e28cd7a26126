import {isIPv4} from 'node:net';
import type {Address} from './address.js';

const MAX_PORT = 65_535;

const PORT_PATTERN = /^[1-9]\d{0,4}$/v;

/**
 * Parses an IPv4 address and a port. Returns undefined if no connection can be opened to them: Node.js throws at a port that is out of range.
 * An address has only one form, so that equal addresses are equal texts.
 */
export const parseAddress = (text: string): Address | undefined => {
	const separator = text.lastIndexOf(':');
	const port = text.slice(separator + 1);
	const isValid = isIPv4(text.slice(0, Math.max(0, separator))) && PORT_PATTERN.test(port) && Number(port) <= MAX_PORT;
	return isValid ? text as Address : undefined;
};

/** Matches a token (RFC 9110, section 5.6.2). */
const TOKEN = /^[\w!#$%\u0026'*+.^`\|~\-]+$/v;

/** Returns true if a header with this name can be written. Node.js reads further names, such as an empty one and one with a space, and throws at writing them. */
export const isHeaderName = (name: string): boolean => TOKEN.test(name);

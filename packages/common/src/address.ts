declare const PARSED: unique symbol;

/** An IPv4 address and a port that a connection can be opened to, in the only form of it. Returned by `parseAddress` alone. */
export type Address = string & {readonly [PARSED]: true};

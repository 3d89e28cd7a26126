/** The ways in which the body of an HTTP response can be delimited (RFC 9112, section 6.3). */
export const RESPONSE_FRAMING = {
	/** The response has no body, whatever its headers say. */
	Bodyless: 'bodyless',
	/** The `Content-Length` header gives the length of the body. */
	Length: 'length',
	/** The body is sent in the chunked transfer coding. */
	Chunks: 'chunks',
	/** The body ends where the connection ends. */
	Connection: 'connection',
} as const;

/** The reasons why an upstream's HTTP response that has ended is incomplete, as texts for logs. */
export const RESPONSE_DEFECT = {
	/** The body is shorter than its `Content-Length`, or its last chunk is missing. */
	Incomplete: 'the answer ended before it was complete',
	/** The body is delimited only by the end of the connection, and the connection may have been reset. */
	Reset: 'the connection of an answer without length and chunks was reset',
	/** The body is an event stream that ended inside an event. */
	InsideEvent: 'the stream ended inside an event',
	/** The body is an event stream that is delimited only by the end of the connection and that ended before its first event. */
	NoEvent: 'the connection of a stream without length and chunks ended before the first event',
} as const;

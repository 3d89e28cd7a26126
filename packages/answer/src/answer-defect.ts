/** Why an answer that has ended is not whole. */
export const ANSWER_DEFECT = {
	/** Its length was not reached, or its last chunk did not come. */
	Incomplete: 'the answer ended before it was complete',
	/** Only the end of its connection could tell, and that was perhaps a reset. */
	Reset: 'the connection of an answer without length and chunks was reset',
	/** An event stream ended inside an event. */
	InsideEvent: 'the stream ended inside an event',
	/** Only the end of its connection could tell, and no event had come. */
	NoEvent: 'the connection of a stream without length and chunks ended before the first event',
} as const;

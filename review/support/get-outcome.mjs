/** The status of an answer, or what went wrong, as one word. */
export const getOutcome = ({status, message}) => status ?? message.replaceAll(' ', '-');

import {RESPONSE_DEFECT} from './response-defect.js';
import {RESPONSE_FRAMING} from './response-framing.js';
import type {ResponseDefectValue} from './response-defect-value.js';
import type {ResponseFramingValue} from './response-framing-value.js';

/** The facts about an ended response that decide whether it is complete. */
type EndedResponse = {
	readonly framing: ResponseFramingValue;
	/** True if the body reached the end that its framing prescribes. */
	readonly isComplete: boolean;
	/** True if the connection ended in the same event-loop iteration in which its last bytes arrived, as happens with a reset. */
	readonly isEndedWithData: boolean;
	/** The position in an event stream at which the response ended; undefined if it is not an event stream that can be scanned. */
	readonly events: {readonly hasEvents: boolean; readonly isOutsideEvent: boolean} | undefined;
};

/**
 * Returns the reason why an ended response is incomplete, or undefined if it is complete. A response that is delimited only by the end of its
 * connection, is not an event stream and whose connection closed without a reset is accepted as complete, as nothing shows otherwise.
 */
export const getResponseDefect = ({framing, isComplete, isEndedWithData, events}: EndedResponse): ResponseDefectValue | undefined => {
	if (!isComplete) {
		return RESPONSE_DEFECT.Incomplete;
	}

	const isEndedByConnection = framing === RESPONSE_FRAMING.Connection;
	if (isEndedByConnection && isEndedWithData) {
		return RESPONSE_DEFECT.Reset;
	}

	if (events?.isOutsideEvent === false) {
		return RESPONSE_DEFECT.InsideEvent;
	}

	return isEndedByConnection && events?.hasEvents === false ? RESPONSE_DEFECT.NoEvent : undefined;
};

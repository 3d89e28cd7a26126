import {ANSWER_DEFECT} from './answer-defect.js';
import {ANSWER_FRAMING} from './answer-framing.js';
import type {AnswerDefectValue} from './answer-defect-value.js';
import type {AnswerFramingValue} from './answer-framing-value.js';

/** What is known of an answer when it has ended. */
type EndedAnswer = {
	readonly framing: AnswerFramingValue;
	/** Whether the end came that the framing asks for. */
	readonly isComplete: boolean;
	/** Whether the connection ended in the same turn of the event loop as its last bytes came. */
	readonly isEndWithBytes: boolean;
	/** Where its events end; undefined where it is no event stream. */
	readonly events: {readonly hasEvents: boolean; readonly isOutsideEvent: boolean} | undefined;
};

/**
 * Why an answer that has ended is not whole; undefined where it is. Nothing tells whether an answer without length and chunks, which is no
 * event stream and whose connection was closed in order, was whole: it is taken for it.
 */
export const getAnswerDefect = ({framing, isComplete, isEndWithBytes, events}: EndedAnswer): AnswerDefectValue | undefined => {
	if (!isComplete) {
		return ANSWER_DEFECT.Incomplete;
	}

	const isEndedByConnection = framing === ANSWER_FRAMING.Connection;
	if (isEndedByConnection && isEndWithBytes) {
		return ANSWER_DEFECT.Reset;
	}

	if (events?.isOutsideEvent === false) {
		return ANSWER_DEFECT.InsideEvent;
	}

	return isEndedByConnection && events?.hasEvents === false ? ANSWER_DEFECT.NoEvent : undefined;
};

/** How a caller's request ended. */
export const CALL_OUTCOME = {
	/** Whole, the first event within the objective and no pause beyond it. */
	InTime: 'in-time',
	/** Whole, but later. */
	Late: 'late',
	Refused: 'refused',
	/** The caller waited and left without an answer, or the answer broke. */
	InVain: 'in-vain',
} as const;

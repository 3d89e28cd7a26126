/** Calls back after some turns of the event loop; in each, what has come on all connections is read. */
export const afterTurns = (turns: number, onOver: () => void): void => {
	setImmediate(() => {
		if (turns > 1) {
			afterTurns(turns - 1, onOver);
		} else {
			onOver();
		}
	});
};

/** Calls back after a number of event-loop iterations. Each iteration reads the data that has arrived on all connections. */
export const afterEventLoopIterations = (iterations: number, onDone: () => void): void => {
	setImmediate(() => {
		if (iterations > 1) {
			afterEventLoopIterations(iterations - 1, onDone);
		} else {
			onDone();
		}
	});
};

/** How far a process is on its way to its end. The chart `stop.chart.json` has the transitions. */
export const STOP_STATE = {
	Running: 'running',
	/** A person told it to stop. */
	Interrupted: 'interrupted',
	/** A supervisor told it to stop, and kills it if that takes too long. */
	Terminating: 'terminating',
	/** The person would not wait any longer. */
	Hurried: 'hurried',
} as const;

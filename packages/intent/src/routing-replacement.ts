/** A log record that replaces the whole routing configuration. It is ignored unless its version is above the current one. */
export type RoutingReplacement = {
	readonly kind: 'routing';
	/** The leader's wall-clock time in Unix milliseconds. */
	readonly at: number;
	readonly version: number;
	/** The routing configuration as the operator submitted it. */
	readonly document: string;
};

/** A mechanism that a test turns off to see the check fail; `none` is the shipping behaviour. */
export type FleetMutation =
	| 'none'
	| 'memory is not counted'
	| 'unknown orders are forgotten'
	| 'release before the unload'
	| 'silence counts as proof'
	| 'old orders are taken'
	| 'an engine restart counts as proof';

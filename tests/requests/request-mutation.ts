/** A mechanism that a test turns off to see the check fail; `none` is the shipping behaviour. */
export type RequestMutation =
	| 'none'
	| 'no claim is made'
	| 'unknown outcomes are retried'
	| 'lost dispatches are not withdrawn'
	| 'deadlines are not watched'
	| 'configuration never ages'
	| 'refusals count as not run'
	| 'late answers are taken';

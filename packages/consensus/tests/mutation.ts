/** A mechanism that a test turns off to see the check fail; `none` is the shipping behaviour. */
export type Mutation =
	| 'none'
	| 'send before sync'
	| 'forget votes'
	| 'forget lease'
	| 'ignore lease'
	| 'ignore suspension'
	| 'keep identity'
	| 'too few voters';

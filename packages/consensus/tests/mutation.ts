/** A mechanism that a test disables to verify that the check then fails. With `none`, the production behaviour is tested. */
export type Mutation =
	| 'none'
	| 'send before sync'
	| 'forget votes'
	| 'forget lease'
	| 'ignore lease'
	| 'ignore suspension'
	| 'keep identity'
	| 'too few voters';

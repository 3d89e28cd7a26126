/** Kinds of evidence that an upstream whose connections broke has crashed. */
export const CRASH_SIGN = {
	/** No process listens at the upstream's address. */
	Refused: 'refused',
	/** Another process announced itself at the upstream's address. */
	Replaced: 'replaced',
} as const;

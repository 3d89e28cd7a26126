/** A fault for which the name or the keys of a team are rejected. The reason never contains a key. */
export type KeyFault = {
	readonly team: string;
	readonly reason: string;
};

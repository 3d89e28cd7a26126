/** What limits the requests to an upstream that takes only so many from all entries together. */
export type SendLimit = {
	/** Requests that this entry may send now. */
	readonly sends: number;
	/** Requests a second that this entry can expect to send there, at most those that the upstream takes from all entries together. */
	readonly perSecond: number;
};

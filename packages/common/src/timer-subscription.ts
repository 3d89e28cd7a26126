/** A subscription to events of a timer service, which can be cancelled. */
export type TimerSubscription = {
	readonly cancel: () => void;
};

/** A running subscription to the timer service. */
export type TimerSubscription = {
	readonly cancel: () => void;
};

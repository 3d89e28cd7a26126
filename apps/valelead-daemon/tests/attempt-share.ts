/** How many attempts at gateways in touch had a chance to be served, and how many brought an event. */
export type AttemptShare = {
	tries: number;
	served: number;
};

/** Phases of a request when its upstream crashed, as the gateway observed them. */
export const SUSPECT_PHASE = {
	/** No part of the response had arrived: the request was queued at the upstream or had just begun to run. */
	Unanswered: 'unanswered',
	/** Only the head of the response had arrived: the request had just begun to run. */
	Begun: 'begun',
	/** A part of the response body had arrived: the request had been running for some time. */
	Running: 'running',
} as const;

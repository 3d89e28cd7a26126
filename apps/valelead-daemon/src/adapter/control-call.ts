/** A call to the control interface. */
export type ControlCall =
	| {readonly kind: 'replaceRouting'}
	| {readonly kind: 'readRouting'}
	| {readonly kind: 'announce'; readonly upstreamId: string}
	| {readonly kind: 'depart'; readonly upstreamId: string}
	| {readonly kind: 'unknown'};

/** A decoded call to the HTTP control interface. */
export type ControlCall =
	| {readonly kind: 'replaceRouting'}
	| {readonly kind: 'readRouting'}
	| {readonly kind: 'announce'; readonly instanceId: string}
	| {readonly kind: 'depart'; readonly instanceId: string}
	| {readonly kind: 'unknown'};

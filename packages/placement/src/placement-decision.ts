/** What the placement wants decided. */
export type PlacementDecision =
	| {readonly kind: 'grant'; readonly unit: string; readonly vm: string}
	| {readonly kind: 'revoke'; readonly grantId: string};

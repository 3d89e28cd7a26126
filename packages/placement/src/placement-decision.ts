/** A proposal of the placement: to grant a replica of a unit on a VM, or to revoke a granted replica. */
export type PlacementDecision =
	| {readonly kind: 'grant'; readonly unit: string; readonly vm: string}
	| {readonly kind: 'revoke'; readonly grantId: string};

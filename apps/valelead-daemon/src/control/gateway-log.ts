/** The part of a voter that keeps the number of gateways in the replicated log. */
export type GatewayLog = {
	readonly node: {readonly term: number; readonly canRead: boolean} | undefined;
	readonly machine: {readonly gatewayCount: number};
	/** Resolves once the number is committed and applied. */
	readonly changeGatewayCount: (count: number) => Promise<void>;
};

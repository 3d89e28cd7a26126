import type {FollowerSessions} from 'valelead-daemon';

/** Stands for the gateways' leases where no request crashes an upstream. */
export const NO_GATEWAY_LEASES = {
	noteGatewayCount: () => undefined, noteReport: () => undefined, noteSessionEnd: () => undefined, hasStaleGateway: () => false, isGranted: () => true, getMissingMs: () => 0,
} as unknown as ConstructorParameters<typeof FollowerSessions>[0]['gatewayLeases'];

import type {FollowerSessions} from 'valelead-daemon';

/** Stands for the gateways' leases where no request crashes an upstream. */
export const NO_GATEWAY_LEASES = {
	noteCount: () => undefined, note: () => undefined, forget: () => undefined, isUnaware: () => false, isGranted: () => true,
} as unknown as ConstructorParameters<typeof FollowerSessions>[0]['gatewayLeases'];

import type {FollowerSessions} from 'valelead-daemon';

/** Stands for the limits of upstreams where none names one. */
export const NO_LIMITS = {version: 0, note: () => undefined, newGrant: () => undefined} as unknown as ConstructorParameters<typeof FollowerSessions>[0]['limits'];

import type {FollowerSessions} from 'valelead-daemon';

/** Stands for the quarantine where no request crashes an upstream. */
export const NO_QUARANTINE = {version: 0, note: () => undefined, refreshPaused: () => undefined} as unknown as ConstructorParameters<typeof FollowerSessions>[0]['quarantine'];

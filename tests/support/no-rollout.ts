import type {FollowerSessions} from 'valelead-daemon';

const ignore = (): void => undefined;

/** Stands for the record of how routings spread where a scenario does not look at it. */
export const NO_ROLLOUT: ConstructorParameters<typeof FollowerSessions>[0]['rollout'] = {start: ignore, noteCommitted: ignore, noteConfirmed: ignore};

import type {FollowerReport} from '@valelead/protocol';
import type {Progress} from './progress.js';

/** Returns the routing and directory versions that a follower reports. */
export const getProgress = ({routingVersion, directoryEpoch, directoryVersion}: FollowerReport): Progress => ({routingVersion, epoch: directoryEpoch, directoryVersion});

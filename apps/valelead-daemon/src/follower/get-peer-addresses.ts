import {getHost} from '../get-host.js';
import type {FollowerSettings} from '../settings/follower-settings.js';

/** Where the controllers of the settings are reached by the installation's own processes. */
export const getPeerAddresses = ({controlAddresses, peerPort}: FollowerSettings): string[] => controlAddresses.map(address => `${getHost(address)}:${peerPort}`);

import {getHost} from '../get-host.js';
import type {FollowerSettings} from '../settings/follower-settings.js';

/** Returns the addresses at which the installation's own processes reach the controllers of the settings. */
export const getPeerAddresses = ({controlAddresses, peerPort}: FollowerSettings): string[] => controlAddresses.map(address => `${getHost(address)}:${peerPort}`);

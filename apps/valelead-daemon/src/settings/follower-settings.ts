import type {ControllerSettings} from './controller-settings.js';
import type {GatewaySettings} from './gateway-settings.js';
import type {SidecarSettings} from './sidecar-settings.js';

/** The settings of a process that follows the leader's routing and directory. */
export type FollowerSettings = GatewaySettings | SidecarSettings | ControllerSettings;

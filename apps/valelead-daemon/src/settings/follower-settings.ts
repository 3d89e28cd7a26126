import type {ControllerSettings} from './controller-settings.js';
import type {GatewaySettings} from './gateway-settings.js';
import type {SidecarSettings} from './sidecar-settings.js';

/** The settings of a process that receives the routing configuration and the directory from the leader. */
export type FollowerSettings = GatewaySettings | SidecarSettings | ControllerSettings;

import type {Settings} from './settings.js';

/** The settings of a gateway. */
export type GatewaySettings = Extract<Settings, {role: 'gateway'}>;

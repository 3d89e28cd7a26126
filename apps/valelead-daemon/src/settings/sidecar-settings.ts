import type {Settings} from './settings.js';

/** The settings of a sidecar. */
export type SidecarSettings = Extract<Settings, {role: 'sidecar'}>;

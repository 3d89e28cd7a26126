import type {Settings} from './settings.js';

/** The settings of a controller. */
export type ControllerSettings = Extract<Settings, {role: 'controller'}>;

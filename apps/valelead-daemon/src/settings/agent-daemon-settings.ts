import type {Settings} from './settings.js';

/** The settings of a daemon with the role agent. */
export type AgentDaemonSettings = Extract<Settings, {role: 'agent'}>;

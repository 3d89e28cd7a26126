import type {Settings} from './settings.js';

/** The settings of an agent's daemon. */
export type AgentDaemonSettings = Extract<Settings, {role: 'agent'}>;

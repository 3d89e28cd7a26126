import type {ControllerSettings} from './controller-settings.js';

/** The settings of a controller that has a disk, and so a vote. */
export type VotingControllerSettings = ControllerSettings & {readonly dataFolder: string};

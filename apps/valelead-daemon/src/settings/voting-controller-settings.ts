import type {ControllerSettings} from './controller-settings.js';

/** The settings of a controller with a disk. Only such controllers are voters of the quorum. */
export type VotingControllerSettings = ControllerSettings & {readonly dataFolder: string};

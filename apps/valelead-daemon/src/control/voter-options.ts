import type {VoterSettings} from '../settings/voter-settings.js';

/** The subset of the settings that the voter itself needs. */
export type VoterOptions = Pick<VoterSettings, 'listen' | 'dataFolder' | 'faultTolerance' | 'electionTimeoutMs' | 'consensusHeartbeatMs' | 'snapshotEvery'>;

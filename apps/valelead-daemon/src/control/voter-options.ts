import type {VoterSettings} from '../settings/voter-settings.js';

/** The settings that a voter itself needs. */
export type VoterOptions = Pick<VoterSettings, 'listen' | 'dataFolder' | 'faultTolerance' | 'electionTimeoutMs' | 'consensusHeartbeatMs' | 'snapshotEvery'>;

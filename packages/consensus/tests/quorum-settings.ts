import type {ConsensusSettings} from '@valelead/consensus';

/** Timing of the simulated quorum. */
export const QUORUM_SETTINGS: ConsensusSettings = {heartbeatMs: 100, electionTimeoutMs: 300};

import type {ConsensusSettings} from '@valelead/consensus';

/** Timing of the quorum under test. */
export const QUORUM_SETTINGS: ConsensusSettings = {heartbeatMs: 100, electionTimeoutMs: 300};

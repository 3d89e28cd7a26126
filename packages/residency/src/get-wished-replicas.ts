/**
 * Requests of one model that a replica should have in progress at most. Beyond it the prompts that are read for new
 * requests make the pauses of the others too long; measured on the platform, see docs/POLICY.md.
 */
const REQUESTS_PER_REPLICA = 16;

/** Replicas that a model's requests in progress call for. */
export const getWishedReplicas = (inProgress: number): number => Math.max(1, Math.ceil(inProgress / REQUESTS_PER_REPLICA));

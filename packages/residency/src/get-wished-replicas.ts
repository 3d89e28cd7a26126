/**
 * Requests of one model that a replica should have in progress at most. Beyond it the prompts that are read for some make
 * the first events of others late; below it replicas take the places of rare models. In the laboratory's steady-tail, 8
 * make 6 in 100 more of the rare models' requests late than 20, and 3 in 100 fewer of the busy models'; 16 lies between.
 */
const REQUESTS_PER_REPLICA = 16;

/** Replicas that a model's requests in progress call for. */
export const getWishedReplicas = (inProgress: number): number => Math.max(1, Math.ceil(inProgress / REQUESTS_PER_REPLICA));

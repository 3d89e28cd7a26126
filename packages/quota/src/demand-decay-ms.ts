/** How long what a subject asked for says what it will ask for, in milliseconds. */
export const DEMAND_DECAY_MS = 3000;

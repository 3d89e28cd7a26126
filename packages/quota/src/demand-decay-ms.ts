/** Time constant of the exponential decay with which past demand of a subject predicts its future demand, in milliseconds. */
export const DEMAND_DECAY_MS = 3000;

/** Time constant of the exponential decay of the copy load rate, in milliseconds: about the duration of one load from the weight store. */
export const COPY_LOAD_DECAY_MS = 5000;

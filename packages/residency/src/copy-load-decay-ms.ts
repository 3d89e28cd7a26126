/** Loads from copies of longer ago than this hardly count, in milliseconds: about as long as a load from the weight store takes. */
export const COPY_LOAD_DECAY_MS = 5000;

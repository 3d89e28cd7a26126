/** How long the start of this process has taken so far, in milliseconds: with the time to load the program, and to be given a processor. */
export const getStartMs = (): number => Math.round(performance.now());

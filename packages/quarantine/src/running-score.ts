/**
 * Blame where the request had run for a while: it takes nine such crashes. What many callers ask all the time runs somewhere at every crash, also in the
 * first seconds, in which nothing is answered whole yet.
 */
export const RUNNING_SCORE = 0.25;

/** The lowest priority. Teams and routes without a configured priority have it, and so have callers without a team. */
export const LOWEST_PRIORITY = 9;

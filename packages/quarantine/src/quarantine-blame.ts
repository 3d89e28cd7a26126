/** The blame at which a request is not sent any more: three crashes, of which it may share two with one other. */
export const QUARANTINE_BLAME = 2.1;

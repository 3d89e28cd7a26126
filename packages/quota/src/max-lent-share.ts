/**
 * The most of what a subject may have in hand that is lent out at once. A new leader does not know what the one before it had lent, so for the time of
 * a loan it lends no more than the rest.
 */
export const MAX_LENT_SHARE = 0.75;

/**
 * The maximum ratio at which an engine counts as slower or faster than another. Slow-downs of 2.5 times are known from practice; a larger ratio comes
 * from few samples or from a gateway that measured wrongly.
 */
export const MAX_SPEED_RATIO = 4;

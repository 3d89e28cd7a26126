/**
 * Length of a window of measured response times, in milliseconds. A time counts for one to two windows. After a congestion, no request is refused for
 * longer than that because of the times that were measured in it. Shorter windows would hold no sample of rare classes (one request a second a gateway).
 */
export const RESPONSE_WINDOW_MS = 4000;

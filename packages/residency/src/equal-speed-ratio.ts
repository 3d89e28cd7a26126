/**
 * Engines whose speeds are within this ratio count as equally fast, so that an even deployment is balanced by the number of requests alone. Measured
 * means of equal engines differ by up to a fifth because their loads differ.
 */
export const EQUAL_SPEED_RATIO = 1.25;

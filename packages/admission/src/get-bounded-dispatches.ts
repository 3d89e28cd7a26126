import {REMOTE_WINDOW_MS} from './remote-window-ms.js';

/**
 * Returns the part of a number of dispatches that is counted at once: those of one second, as if the dispatches were spread evenly over the time in
 * which they took place. So a message that is late, or the first one after a silence, does not stop a team.
 * @param count - The dispatches, divided by the weight of the team.
 * @param forMs - The time in which they took place, in milliseconds.
 */
export const getBoundedDispatches = (count: number, forMs: number): number => count * Math.min(1, REMOTE_WINDOW_MS / Math.max(forMs, 1));

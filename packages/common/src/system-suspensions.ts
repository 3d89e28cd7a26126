import {SuspensionWatch} from './suspension-watch.js';
import {SYSTEM_CLOCK} from './system-clock.js';

/** Detects suspensions of this process by the clocks of the operating system. */
export const SYSTEM_SUSPENSIONS = new SuspensionWatch(SYSTEM_CLOCK);

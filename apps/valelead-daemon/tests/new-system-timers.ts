import {SYSTEM_CLOCK, TimerService} from '@valelead/common';

/** Creates a timer service that runs in real time. */
export const newSystemTimers = (): TimerService => new TimerService(SYSTEM_CLOCK);

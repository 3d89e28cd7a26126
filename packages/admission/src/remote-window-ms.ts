/**
 * The time whose dispatches at other entries may put a team behind others at once, in milliseconds. Entries and the leader exchange messages twice a
 * second, so the window holds what two messages bring. It is short enough that a team which has sent too much, or a late message, stops no request until its
 * deadline: the longest latency objectives of urgent requests are of this length.
 */
export const REMOTE_WINDOW_MS = 1000;

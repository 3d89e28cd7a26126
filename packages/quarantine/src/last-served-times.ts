/** When requests were last answered whole, in monotonic milliseconds by fingerprint, the longest ago first. */
export type LastServedTimes = Map<string, number>;

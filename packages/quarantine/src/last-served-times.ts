/** Time of the last complete response to each request, in monotonic milliseconds by fingerprint, oldest first. */
export type LastServedTimes = Map<string, number>;

const EVENT_STREAM = /^text\/event-stream\s*(?:;|$)/iv;

/** Returns true if a `Content-Type` header names a stream of server-sent events. */
export const isEventStream = (contentType: string): boolean => EVENT_STREAM.test(contentType);

const EVENT_STREAM = /^text\/event-stream\s*(?:;|$)/iv;

/** Whether a content type is that of server-sent events. */
export const isEventStream = (contentType: string): boolean => EVENT_STREAM.test(contentType);

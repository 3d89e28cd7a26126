import type {RequestRecord} from './request-record.js';

/** True if a request has reached as many different upstreams as it may, so that it may be sent to these only. */
export const hasReachedAll = ({request, reachedVms}: Pick<RequestRecord, 'request' | 'reachedVms'>): boolean => reachedVms.size === request.maxUpstreams;

import {create} from '@bufbuild/protobuf';
import {type FollowerReport, LimitSightingSchema} from '@valelead/protocol';
import {encodeQuotaUsage} from './encode-quota-usage.js';
import type {LimitExchange} from './limit-exchange.js';

/**
 * Encodes what a gateway reports to the leader about upstreams that limit their request rates.
 * @param sentAt - When the report is made, in monotonic milliseconds.
 */
export const encodeLimitReport = ({sightings, usages}: ReturnType<LimitExchange['getReport']>, sentAt: number): Pick<FollowerReport, 'limitSightings' | 'limitUsages'> => ({
	limitSightings: sightings.map(({upstreamId, perSecond, at}) => create(LimitSightingSchema, {
		upstreamId, ...(perSecond !== undefined && {perSecond}), ageMs: sentAt - at,
	})),
	limitUsages: usages.map(usage => encodeQuotaUsage(usage)),
});

import {create} from '@bufbuild/protobuf';
import {type QuotaUsage, QuotaUsageSchema} from '@valelead/protocol';
import type {SubjectUsage} from '@valelead/quota';

/** Encodes the use of a quota for a report to the leader. */
export const encodeQuotaUsage = ({needs, ...usage}: SubjectUsage): QuotaUsage => create(QuotaUsageSchema, {...usage, needs: [...needs]});

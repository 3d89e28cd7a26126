import {create} from '@bufbuild/protobuf';
import {type QuotaUsage, QuotaUsageSchema} from '@valelead/protocol';
import type {SubjectUsage} from '@valelead/quota';

/** The use of a quota as the leader is told it. */
export const encodeQuotaUsage = ({needs, ...usage}: SubjectUsage): QuotaUsage => create(QuotaUsageSchema, {...usage, needs: [...needs]});

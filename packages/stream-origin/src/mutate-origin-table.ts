import {isSameContinuation} from './is-same-continuation.js';
import type {OriginRecord} from './origin-record.js';
import type {OriginTable} from './origin-table.js';

/** Maximum number of records: those of several hundred streams a second for as long as one lasts. */
const MAX_RECORDS = 20_000;

/** Records the origin of a stream. A key that is recorded with two origins that do not fit together identifies no stream from then on. */
export const mutateOriginTable = ({records}: OriginTable, record: OriginRecord): void => {
	const {key} = record;
	const known = records.get(key);
	const isConflict = known !== undefined && (known.record === undefined || !isSameContinuation(known.record, record));
	records.set(key, {record: isConflict ? undefined : record, expiresAt: Math.max(known?.expiresAt ?? 0, record.expiresAt)});
	if (records.size > MAX_RECORDS) {
		records.delete(records.keys().next().value!);
	}
};

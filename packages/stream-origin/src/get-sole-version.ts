import {VERSION_RETENTION_MS} from './version-retention-ms.js';
import type {VersionHistory} from './version-history.js';

/** Returns the version that all upstreams of a service have had lately; undefined if there were several, none, or one without a known version. */
export const getSoleVersion = ({leftAt}: VersionHistory, service: string, now: number): string | undefined => {
	const recent = [...leftAt.get(service) ?? []].filter(([, at]) => now - at <= VERSION_RETENTION_MS).map(([version]) => version);
	return recent.length === 1 && recent[0] !== '' ? recent[0] : undefined;
};

import {VERSION_RETENTION_MS} from './version-retention-ms.js';
import type {VersionHistory} from './version-history.js';

type VersionedUpstream = {
	readonly service: string;
	readonly softwareVersion: string;
};

/** Updates the history with all upstreams that are known at `now`, in monotonic milliseconds. */
export const mutateVersionHistory = ({leftAt}: VersionHistory, upstreams: readonly VersionedUpstream[], now: number): void => {
	for (const versions of leftAt.values()) {
		for (const [version, at] of versions) {
			if (now - at > VERSION_RETENTION_MS) {
				versions.delete(version);
			} else {
				versions.set(version, Math.min(at, now));
			}
		}
	}

	for (const {service, softwareVersion} of upstreams) {
		const versions = leftAt.get(service) ?? new Map<string, number>();
		versions.set(softwareVersion, Number.POSITIVE_INFINITY);
		leftAt.set(service, versions);
	}
};

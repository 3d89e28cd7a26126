import {create, toBinary} from '@bufbuild/protobuf';
import type {TimerService} from '@valelead/common';
import {type Upstream, type UpstreamChange, getChangesSince} from '@valelead/discovery';
import {DirectoryDeltaSchema, UpstreamRecordSchema} from '@valelead/protocol';
import type {DirectoryProgress} from './directory-progress.js';
import type {UpstreamRegistry} from './upstream-registry.js';

type NewsParts = {
	readonly registry: Pick<UpstreamRegistry, 'epoch' | 'directory'>;
	readonly timers: TimerService;
};

/**
 * What engines hold is told together this often, in milliseconds. Told at once, each swap of a model became a message to each follower:
 * with 84 engines that swap once a second and 160 followers, the leader spent a whole core on it, and engines waited 500 ms for the
 * answer to an announcement (`npm run bench:leader`). Gateways hear of an engine's models sooner from the process that orders it.
 */
const HOLDINGS_MS = 1000;

/** @param progress - What a follower knows once it has taken the delta. */
const encodeDelta = ({epoch, directoryVersion}: DirectoryProgress, isWhole: boolean, upstreams: readonly UpstreamChange[]): Uint8Array => toBinary(DirectoryDeltaSchema, create(DirectoryDeltaSchema, {
	epoch, version: directoryVersion, isWhole, upstreams: upstreams.map(upstream => create(UpstreamRecordSchema, upstream as never)),
}));

/**
 * What followers are told of the directory. They all get the same few deltas, between the versions that were made public, so that each is
 * encoded once and not once for each follower.
 */
export class DirectoryNews {
	readonly #parts: NewsParts;
	readonly #encoded = new Map<string, Uint8Array>();
	#public: DirectoryProgress = {epoch: '', directoryVersion: 0};

	constructor(parts: NewsParts) {
		this.#parts = parts;
	}

	start(): void {
		this.#parts.timers.repeat(HOLDINGS_MS, () => {
			this.#publish();
		});
	}

	/** What followers should know by now. */
	get progress(): DirectoryProgress {
		const {epoch, directory} = this.#parts.registry;
		const isUrgent = epoch !== this.#public.epoch || directory.urgentVersion > this.#public.directoryVersion;
		if (isUrgent) {
			this.#publish();
		}

		return this.#public;
	}

	/** The change from what a follower knows to what it should know, as a DirectoryDelta. */
	getDelta(known: DirectoryProgress): Uint8Array {
		const {epoch, directoryVersion} = this.progress;
		const isWhole = known.epoch !== epoch;
		const since = isWhole ? 0 : known.directoryVersion;
		const key = `${isWhole} ${since}`;
		const encoded = this.#encoded.get(key) ?? encodeDelta({epoch, directoryVersion}, isWhole, getChangesSince(this.#parts.registry.directory, since));
		this.#encoded.set(key, encoded);
		return encoded;
	}

	/** What one upstream announced, for a follower that learns nothing else with it. */
	getSingleDelta(known: DirectoryProgress, upstream: Upstream): Uint8Array {
		return encodeDelta(known, false, [{...upstream, areDiskCopiesUnchanged: false}]);
	}

	/** Names what is known now, for the followers; what was encoded before ends with it. */
	#publish(): void {
		const {epoch, directory} = this.#parts.registry;
		const isNews = epoch !== this.#public.epoch || directory.version !== this.#public.directoryVersion;
		if (isNews) {
			this.#public = {epoch, directoryVersion: directory.version};
			this.#encoded.clear();
		}
	}
}

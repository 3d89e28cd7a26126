import {create, toBinary} from '@bufbuild/protobuf';
import type {TimerService} from '@valelead/common';
import {type Upstream, type UpstreamChange, getChangesSince} from '@valelead/discovery';
import {DirectoryDeltaSchema, UpstreamRecordSchema} from '@valelead/protocol';
import type {DirectoryProgress} from './directory-progress.js';
import type {UpstreamRegistry} from './upstream-registry.js';

type UpdatesParts = {
	readonly registry: Pick<UpstreamRegistry, 'epoch' | 'directory'>;
	readonly timers: TimerService;
};

/**
 * Interval at which changes of the models on engines are published in one batch, in milliseconds. Without batching, each model swap sends
 * one message to each follower: with 84 engines that swap once a second and 160 followers, this used a whole core of the leader, and
 * engines waited 500 ms for the reply to an announcement (`npm run bench:leader`). Gateways learn an engine's models sooner from the
 * process that manages the engine.
 */
const PUBLISH_INTERVAL_MS = 1000;

/** @param progress - Version that a follower has after it applies the delta. */
const encodeDelta = ({epoch, directoryVersion}: DirectoryProgress, isWhole: boolean, upstreams: readonly UpstreamChange[]): Uint8Array => toBinary(DirectoryDeltaSchema, create(DirectoryDeltaSchema, {
	epoch, version: directoryVersion, isWhole, upstreams: upstreams.map(upstream => create(UpstreamRecordSchema, upstream as never)),
}));

/**
 * Publishes versions of the upstream directory and encodes the deltas between them. All followers receive deltas between the same published
 * versions, so each delta is encoded once instead of once for each follower.
 */
export class DirectoryUpdates {
	readonly #parts: UpdatesParts;
	readonly #encoded = new Map<string, Uint8Array>();
	#published: DirectoryProgress = {epoch: '', directoryVersion: 0};

	constructor(parts: UpdatesParts) {
		this.#parts = parts;
	}

	start(): void {
		this.#parts.timers.repeat(PUBLISH_INTERVAL_MS, () => {
			this.#publish();
		});
	}

	/** Version that followers should have. Publishes urgent changes of the directory first. */
	get progress(): DirectoryProgress {
		const {epoch, directory} = this.#parts.registry;
		const isUrgent = epoch !== this.#published.epoch || directory.urgentVersion > this.#published.directoryVersion;
		if (isUrgent) {
			this.#publish();
		}

		return this.#published;
	}

	/** Returns the encoded DirectoryDelta from the version that a follower has to the published version. */
	getDelta(known: DirectoryProgress): Uint8Array {
		const {epoch, directoryVersion} = this.progress;
		const isWhole = known.epoch !== epoch;
		const since = isWhole ? 0 : known.directoryVersion;
		const key = `${isWhole} ${since}`;
		const encoded = this.#encoded.get(key) ?? encodeDelta({epoch, directoryVersion}, isWhole, getChangesSince(this.#parts.registry.directory, since));
		this.#encoded.set(key, encoded);
		return encoded;
	}

	/** Returns an encoded delta with a single upstream. It leaves the follower's directory version unchanged. */
	getUpstreamDelta(known: DirectoryProgress, upstream: Upstream): Uint8Array {
		return encodeDelta(known, false, [{...upstream, areDiskCopiesUnchanged: false}]);
	}

	/** Publishes the current version of the directory and clears the encoded deltas of the previous version. */
	#publish(): void {
		const {epoch, directory} = this.#parts.registry;
		const isChanged = epoch !== this.#published.epoch || directory.version !== this.#published.directoryVersion;
		if (isChanged) {
			this.#published = {epoch, directoryVersion: directory.version};
			this.#encoded.clear();
		}
	}
}

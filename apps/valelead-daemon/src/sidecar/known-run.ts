import {type Run, getRunId, isOlderRun} from '@valelead/discovery';
import type {StatusReply} from './status-reply.js';

type KnownRunParts = {
	/** Called when a new run of the engine becomes known; nothing known about the previous run applies to it. */
	readonly onChange: () => void;
};

/** Tracks the newest known run of an engine, from its announcements and from the responses that contain its id or start time. */
export class KnownRun {
	readonly #parts: KnownRunParts;
	#run: Run = {instanceId: '', bornAt: 0};

	constructor(parts: KnownRunParts) {
		this.#parts = parts;
	}

	/** The id of the run; empty until a run is known. */
	get id(): string {
		return this.#run.instanceId === '' ? '' : getRunId(this.#run);
	}

	/** The id that the engine reports for itself; it stays the same in all runs. */
	get instanceId(): string {
		return this.#run.instanceId;
	}

	/** Updates the run. Returns false, without a change, if the given run is older than the known one. */
	update({instanceId, bornAt}: Run): boolean {
		const run = {instanceId, bornAt};
		if (isOlderRun(run, this.#run)) {
			return false;
		}

		if (instanceId !== this.#run.instanceId || bornAt !== this.#run.bornAt) {
			this.#run = run;
			this.#parts.onChange();
		}

		return true;
	}

	/**
	 * Updates the run from a status response, as far as the response identifies it. Returns false if the response came from an older run than
	 * the known one.
	 */
	updateFromStatus({status, instanceId}: StatusReply): boolean {
		const isOther = instanceId !== '' && instanceId !== this.#run.instanceId;
		const knownBornAt = isOther ? 0 : this.#run.bornAt;
		return this.update({instanceId: isOther ? instanceId : this.#run.instanceId, bornAt: status.bornAt === 0 ? knownBornAt : status.bornAt});
	}
}

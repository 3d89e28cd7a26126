import {type Run, getRunId, isOlderRun} from '@valelead/discovery';
import type {StatusReply} from './status-reply.js';

type KnownRunParts = {
	/** Called when another run of the engine is known: nothing that was known of the one before holds for it. */
	readonly onChange: () => void;
};

/** The run of an engine that its keeper knows: from the engine's announcements, and from its own answers where these tell it. */
export class KnownRun {
	readonly #parts: KnownRunParts;
	#run: Run = {instanceId: '', bornAt: 0};

	constructor(parts: KnownRunParts) {
		this.#parts = parts;
	}

	/** Names the run; empty until it is known. */
	get id(): string {
		return this.#run.instanceId === '' ? '' : getRunId(this.#run);
	}

	/** What the engine calls itself. */
	get instanceId(): string {
		return this.#run.instanceId;
	}

	/** Learns of a run; returns false where it is an earlier one than is known. */
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

	/** Learns from an answer which run gave it, as far as the answer tells; returns false where it was an earlier one than is known. */
	updateFromStatus({status, instanceId}: StatusReply): boolean {
		const isOther = instanceId !== '' && instanceId !== this.#run.instanceId;
		const knownBornAt = isOther ? 0 : this.#run.bornAt;
		return this.update({instanceId: isOther ? instanceId : this.#run.instanceId, bornAt: status.bornAt === 0 ? knownBornAt : status.bornAt});
	}
}

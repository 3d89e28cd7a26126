import {type Clock, invariant} from '@valelead/common';
import {
	type Intent, type Proposal, decodeIntent, mutateIntent, newIntent,
} from '@valelead/intent';
import type {SessionUpdate} from '@valelead/protocol';

/** Maintains a replica of the configuration from the leader's updates. It never returns to an older revision. */
export class IntentFollower {
	readonly #clock: Clock;
	#intent: Intent = newIntent();
	#needsSnapshot = true;
	#confirmedAt = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	get intent(): Intent {
		return this.#intent;
	}

	/** The revision to report to the leader. -1 requests a snapshot of the complete configuration. */
	get reportedRevision(): number {
		return this.#needsSnapshot ? -1 : this.#intent.revision;
	}

	/** Time since the leader last confirmed the configuration, in milliseconds. */
	get ageMs(): number {
		return this.#clock.now() - this.#confirmedAt;
	}

	/** Applies an update of the current leader. Returns true if the configuration changed. */
	applyUpdate(update: SessionUpdate): boolean {
		const before = this.#intent.revision;
		if (update.snapshot !== '') {
			this.#applySnapshot(update.snapshot);
		}

		for (const {revision, command} of update.commands) {
			this.#applyCommand(revision, command);
		}

		if (this.#intent.revision === update.revision) {
			this.#confirmedAt = Math.max(this.#confirmedAt, update.sentAt);
		} else if (this.#intent.revision < update.revision) {
			this.#needsSnapshot = true;
		}

		return this.#intent.revision !== before;
	}

	#applySnapshot(snapshot: string): void {
		const intent = decodeIntent(snapshot);
		if (intent.revision >= this.#intent.revision) {
			this.#intent = intent;
			this.#needsSnapshot = false;
		}
	}

	#applyCommand(revision: number, command: string): void {
		if (revision !== this.#intent.revision + 1) {
			return;
		}

		mutateIntent(this.#intent, JSON.parse(command) as Proposal);
		invariant(this.#intent.revision === revision, 'replaying a proposal yields the revision at which it was committed');
	}
}

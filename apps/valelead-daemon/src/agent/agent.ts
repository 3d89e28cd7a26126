import {randomUUID} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import {
	type TimerService, SYSTEM_CLOCK,
} from '@valelead/common';
import {
	type AgentEffect, type AgentEvent, type AgentSettings, type AgentState, type Upstream, type UpstreamOrder, getRefusalCode, getUnitReports,
	getUsedBytes, mutateAgent, mutateWithdrawnAttempt, newAgentState,
} from '@valelead/engine';
import {
	type SessionReport, type SessionUpdate, SessionReportSchema,
} from '@valelead/protocol';
import type {Logger} from 'pino';
import type {AgentDaemonSettings} from '../settings/agent-daemon-settings.js';

type AgentParts = {
	readonly settings: AgentDaemonSettings;
	readonly upstream: Upstream;
	readonly timers: TimerService;
	readonly logger: Logger;
};

type AgentListener = {
	readonly onCredits: (entry: string, creditIds: readonly string[]) => void;
	/** Called when a change should be reported to the leader immediately. */
	readonly onReport: () => void;
};

/** The decision to accept or refuse a dispatch. */
type DispatchDecision = Extract<AgentEffect, {kind: 'accept' | 'refuse'}>;

const TICK_INTERVAL_MS = 100;

/** Runs the state machine of the agent of one upstream. Passes events to it and applies the resulting effects, such as loads and unloads. */
export class Agent {
	readonly #parts: AgentParts;
	readonly #settings: AgentSettings;
	readonly #state: AgentState = newAgentState();
	readonly #incarnation = `${Date.now()}-${randomUUID()}`;
	#listener: AgentListener | undefined;
	#isStatusPending = false;

	constructor(parts: AgentParts) {
		this.#parts = parts;
		this.#settings = parts.settings;
	}

	get state(): AgentState {
		return this.#state;
	}

	get usedBytes(): number {
		return getUsedBytes(this.#state);
	}

	get isReady(): boolean {
		return getRefusalCode(this.#state, this.#settings, SYSTEM_CLOCK.now()) === undefined;
	}

	get creditMs(): number {
		return this.#settings.creditMs;
	}

	start(listener: AgentListener): void {
		this.#listener = listener;
		this.#parts.timers.repeat(TICK_INTERVAL_MS, () => {
			this.handleEvent({kind: 'tick'});
		});
		this.#parts.timers.repeat(this.#parts.settings.statusMs, () => {
			void this.#pollStatus();
		});
		void this.#pollStatus();
	}

	/** Handles one event and applies its effects. Returns the decision if the event is a dispatch. */
	handleEvent(event: AgentEvent): DispatchDecision | undefined {
		let decision: DispatchDecision | undefined;
		for (const effect of mutateAgent(this.#state, this.#settings, event, SYSTEM_CLOCK.now())) {
			decision = this.#applyEffect(effect) ?? decision;
		}

		return decision;
	}

	/** Applies an update of the leader: new orders, or a confirmation of the current ones. */
	applyUpdate(update: SessionUpdate): void {
		if (!update.orders) {
			this.handleEvent({kind: 'confirmed', requestedAt: update.sentAt});
			return;
		}

		const {revision, isDrained, grants} = update.orders;
		this.handleEvent({kind: 'orders', orders: {revision, isDrained, grants}, requestedAt: update.sentAt});
	}

	/**
	 * Returns the outcome of an attempt whose response was lost. If the attempt was never accepted, its credit is withdrawn, so that a dispatch that
	 * arrives late is refused.
	 */
	withdraw(attemptId: string, creditId: string): string {
		return mutateWithdrawnAttempt(this.#state, attemptId, creditId);
	}

	/** Creates the report of this agent to the leader. */
	newReport(sentAt: number): SessionReport {
		const {settings} = this.#parts;
		const {status} = this.#state;
		return create(SessionReportSchema, {
			report: {
				case: 'agent',
				value: {
					vm: settings.vm,
					sentAt,
					dataCentre: settings.dataCentre,
					address: settings.listen,
					incarnation: this.#incarnation,
					upstreamIncarnation: status?.incarnation ?? '',
					revision: this.#state.revision,
					memoryBytes: status?.memoryBytes ?? 0,
					units: getUnitReports(this.#state, sentAt),
					released: [...this.#state.released],
					isLeaving: this.#state.isStopping || (status?.isLeaving ?? true),
					inProgress: this.#state.inProgress,
					capacity: status?.capacity ?? 0,
					service: status?.service ?? '',
					cached: [...(status?.cached ?? [])],
				},
			},
		});
	}

	get hasStatus(): boolean {
		return this.#state.status !== undefined;
	}

	#applyEffect(effect: AgentEffect): DispatchDecision | undefined {
		switch (effect.kind) {
			case 'load': {
				void this.#load(effect.order);
				return undefined;
			}

			case 'unload': {
				void this.#unload(effect.order);
				return undefined;
			}

			case 'credits': {
				this.#listener?.onCredits(effect.entry, effect.creditIds);
				return undefined;
			}

			case 'report': {
				this.#listener?.onReport();
				return undefined;
			}

			default: {
				return effect;
			}
		}
	}

	async #load(order: UpstreamOrder): Promise<void> {
		const startedAt = SYSTEM_CLOCK.now();
		this.#parts.logger.info({event: 'load-ordered', ...order}, 'load ordered');
		const result = await this.#parts.upstream.load(order);
		this.#parts.logger.info({
			event: 'load-ended', ...order, result, tookMs: Math.round(SYSTEM_CLOCK.now() - startedAt),
		}, 'load ended');
		this.handleEvent({kind: 'loadEnded', unit: order.unit, result});
	}

	async #unload(order: UpstreamOrder): Promise<void> {
		this.#parts.logger.info({event: 'unload-ordered', ...order}, 'unload ordered');
		const result = await this.#parts.upstream.unload(order);
		this.handleEvent({kind: 'unloadEnded', unit: order.unit, result});
	}

	async #pollStatus(): Promise<void> {
		if (this.#isStatusPending) {
			return;
		}

		this.#isStatusPending = true;
		const requestedAt = SYSTEM_CLOCK.now();
		try {
			const status = await this.#parts.upstream.getStatus();
			const isNew = this.#state.status?.incarnation !== status.incarnation || this.#state.status.isLeaving !== status.isLeaving;
			this.handleEvent({kind: 'status', status, requestedAt});
			if (isNew) {
				this.#listener?.onReport();
			}
		} catch (error) {
			this.#parts.logger.debug({event: 'upstream-silent', reason: (error as Error).message}, 'upstream status request failed');
		} finally {
			this.#isStatusPending = false;
		}
	}
}

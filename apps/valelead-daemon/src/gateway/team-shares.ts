import {create} from '@bufbuild/protobuf';
import {
	type AdmissionState, REMOTE_WINDOW_MS, getBoundedDispatches, getRecentDispatches, mutateRemoteDispatches,
} from '@valelead/admission';
import type {Clock, SuspensionWatch} from '@valelead/common';
import {type TeamDispatches, type TeamTotals, TeamDispatchesSchema} from '@valelead/protocol';
import type {RouteTable} from '@valelead/routing';
import type {Logger} from 'pino';
import type {TeamExchange} from '../follower/team-exchange.js';
import type {TeamDispatchCounts} from './team-dispatch-counts.js';

type SharesParts = {
	readonly state: AdmissionState;
	readonly getTable: () => Pick<RouteTable, 'teams'> | undefined;
	readonly clock: Clock;
	readonly suspensions: Pick<SuspensionWatch, 'lostMs'>;
	readonly logger: Logger;
};

/** A report that no leader has acknowledged yet, with the dispatches since the start of the process that are reported with it, by team. */
type SentReport = {
	readonly sentAt: number;
	readonly dispatched: ReadonlyMap<string, number>;
};

/** Minimum time between two log lines about the shares of teams, in milliseconds. */
const LOG_INTERVAL_MS = 1000;

/** Maximum number of teams in a log line; those with the most waiting requests are logged. */
const MAX_LOGGED_TEAMS = 8;

const round = (count: number): number => Math.round(count * 10) / 10;

/**
 * Orders the requests of a gateway by what their teams received at all gateways: reports to the leader what this gateway has dispatched of each team, and
 * adds what the other gateways have dispatched to the virtual times of the teams.
 */
export class TeamShares implements TeamExchange {
	readonly #parts: SharesParts;
	/** The dispatches of this gateway since its start that were reported in this session, by team. */
	#reported = new Map<string, number>();
	/** Those of them that a leader has acknowledged. */
	readonly #acknowledged = new Map<string, number>();
	#unacknowledged: SentReport[] = [];
	/** When the last report of this session, or the last acknowledged one of an earlier session, was made. */
	#reportedAt: number;
	#acknowledgedAt: number;
	/** The totals of the other gateways by the present leader, by team. */
	#known = new Map<string, number>();
	readonly #others = new Map<string, number>();
	/** The term of the totals; undefined before the first ones. */
	#term: number | undefined;
	/** When the first totals of the present term came. */
	#newTermAt = Number.NEGATIVE_INFINITY;
	/** When the leader last sent an update; undefined before the first one. */
	#updatedAt: number | undefined;
	#loggedAt = Number.NEGATIVE_INFINITY;

	constructor(parts: SharesParts) {
		this.#parts = parts;
		this.#reportedAt = parts.clock.now();
		this.#acknowledgedAt = this.#reportedAt;
	}

	/** What this gateway knows to be dispatched of each team. */
	get counts(): TeamDispatchCounts[] {
		return [...this.#parts.state.teams].map(([team, {dispatched}]) => ({team, own: dispatched, others: this.#others.get(team) ?? 0}));
	}

	getReport(sentAt: number, isFirst: boolean): TeamDispatches[] {
		if (isFirst) {
			this.#reported = new Map(this.#acknowledged);
			this.#reportedAt = this.#acknowledgedAt;
			this.#unacknowledged = [];
		}

		if ((this.#parts.getTable()?.teams.size ?? 0) === 0) {
			return [];
		}

		const forMs = sentAt - this.#reportedAt;
		const report: TeamDispatches[] = [];
		for (const [team, {dispatched}] of this.#parts.state.teams) {
			const count = dispatched - (this.#reported.get(team) ?? 0);
			if (count > 0) {
				this.#reported.set(team, dispatched);
				report.push(create(TeamDispatchesSchema, {team, count: getBoundedDispatches(count, forMs)}));
			}
		}

		this.#reportedAt = sentAt;
		this.#unacknowledged.push({sentAt, dispatched: new Map(report.map(({team}) => [team, this.#reported.get(team)!]))});
		return report;
	}

	handleUpdate({totals, reportedAt}: Parameters<TeamExchange['handleUpdate']>[0]): void {
		this.#acknowledge(reportedAt);
		const now = this.#now;
		if (this.#updatedAt === undefined) {
			// What was dispatched before this process started says nothing about the requests that wait here.
			this.#setKnown(totals);
		} else if (totals) {
			const differences = this.#takeDifferences(totals, now);
			mutateRemoteDispatches(this.#parts.state, differences, this.#getSpreadMs(now - this.#updatedAt, now), now);
		}

		this.#updatedAt = now;
		this.#logWaiting(now);
	}

	/** The current time on a clock that also advances while the process is suspended, in milliseconds. */
	get #now(): number {
		return this.#parts.clock.now() + this.#parts.suspensions.lostMs;
	}

	#acknowledge(reportedAt: number): void {
		for (const {sentAt, dispatched} of this.#unacknowledged) {
			if (sentAt <= reportedAt) {
				this.#acknowledgedAt = sentAt;
				for (const [team, count] of dispatched) {
					this.#acknowledged.set(team, count);
				}
			}
		}

		this.#unacknowledged = this.#unacknowledged.filter(({sentAt}) => sentAt > reportedAt);
	}

	#setKnown(totals: Pick<TeamTotals, 'term' | 'teams'> | undefined): void {
		this.#term = totals?.term;
		this.#known = new Map(totals?.teams.map(({team, count}) => [team, count]));
	}

	/**
	 * Returns the time in which the dispatches of an update took place, in milliseconds. Gateways report up to a second of a silence to a new leader, whose
	 * first updates therefore hold more than the time since the last update.
	 */
	#getSpreadMs(passedMs: number, now: number): number {
		return now - this.#newTermAt < REMOTE_WINDOW_MS ? Math.max(passedMs, REMOTE_WINDOW_MS) : passedMs;
	}

	/** Returns what the other gateways have dispatched since the last totals. A new leader begins with zero, as it gets only what no leader has yet. */
	#takeDifferences({term, teams}: Pick<TeamTotals, 'term' | 'teams'>, now: number): Map<string, number> {
		if (term !== this.#term) {
			this.#newTermAt = now;
			this.#setKnown({term, teams: []});
		}

		const differences = new Map<string, number>();
		for (const {team, count} of teams) {
			const difference = count - (this.#known.get(team) ?? 0);
			if (difference > 0) {
				this.#known.set(team, count);
				this.#others.set(team, (this.#others.get(team) ?? 0) + difference);
				differences.set(team, difference);
			}
		}

		return differences;
	}

	/** Logs by what the waiting teams are ordered, if several teams wait. */
	#logWaiting(now: number): void {
		if (now - this.#loggedAt < LOG_INTERVAL_MS) {
			return;
		}

		const {state, logger} = this.#parts;
		const waiting = [...state.teams].filter(([, usage]) => usage.waiting > 0).sort(([, left], [, right]) => right.waiting - left.waiting);
		if (waiting.length < 2) {
			return;
		}

		this.#loggedAt = now;
		const teams = waiting.slice(0, MAX_LOGGED_TEAMS).map(([team, usage]) => ({
			team,
			waiting: usage.waiting,
			inProgress: usage.inProgress,
			// Of two teams with requests of the same rank and stage, the one that is less ahead goes first.
			ahead: round(usage.virtualTime - state.virtualTime),
			own: round(usage.dispatched),
			others: round(this.#others.get(team) ?? 0),
			othersLately: round(getRecentDispatches(usage, now)),
		}));
		logger.info({
			event: 'team-shares', teamCount: waiting.length, teams, term: this.#term,
		}, 'requests of several teams wait and are ordered by the shares of their teams');
	}
}

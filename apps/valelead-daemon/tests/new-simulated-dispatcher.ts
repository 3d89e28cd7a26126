import {pino} from 'pino';
import type {VirtualTime} from '../../../tests/support/virtual-time.js';
import {RequestDispatcher} from 'valelead-daemon';

type DispatcherParts = ConstructorParameters<typeof RequestDispatcher>[0];

/** What a simulation decides about its dispatcher. */
type SimulatedParts = Pick<DispatcherParts, 'timers' | 'getSettings' | 'codec' | 'origins' | 'getTable' | 'getGatewayCount' | 'random' | 'newAttempt' | 'onEnd'>;

const ignore = (): void => undefined;

/** The shipped dispatcher in virtual time, of a gateway without engines and without news of a leader. */
export const newSimulatedDispatcher = (time: VirtualTime, parts: SimulatedParts): RequestDispatcher => new RequestDispatcher({
	...parts,
	clock: {now: () => time.now, wallNow: () => time.now},
	logger: pino({enabled: false}),
	residency: {follow: ignore, setNeeds: ignore},
	getLeaderAgeMs: () => 0,
	isPortRefused: async () => false,
	onCrash: ignore,
	onCrashReportDue: ignore,
	onLimitReportDue: ignore,
	onRetry: ignore,
	onAborted: ignore,
	onCancelled: ignore,
	suspensions: {resumedAt: Number.NEGATIVE_INFINITY, lostMs: 0},
});

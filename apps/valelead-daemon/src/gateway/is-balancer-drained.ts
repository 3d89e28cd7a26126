import {BALANCER_DRAIN_MS} from './balancer-drain-ms.js';

type BalancerView = {
	/** Time since the stop signal, in milliseconds. */
	readonly stopMs: number;
	/** Time since the last connection was accepted, in milliseconds. */
	readonly acceptedMs: number;
	/** True if the balancer has seen this process ready. */
	readonly isChecked: boolean;
	/** Readiness checks that have failed since then. */
	readonly failedChecks: number;
};

/** Failed checks after which the balancer opens no further connections. */
const FAILED_CHECKS = 2;

/** Time without a new connection, in milliseconds. Callers with addresses of their own do not heed readiness, and a balancer's checks may be late. */
const QUIET_MS = 500;

/** True if no further connections are expected at a process that has failed its readiness checks since its stop signal. */
export const isBalancerDrained = ({stopMs, acceptedMs, isChecked, failedChecks}: BalancerView): boolean =>
	stopMs >= BALANCER_DRAIN_MS && acceptedMs >= QUIET_MS && (!isChecked || failedChecks >= FAILED_CHECKS);

import {SYSTEM_CLOCK, TimerService} from '@valelead/common';
import {ChannelPool} from '@valelead/protocol';
import type {Logger} from 'pino';
import type {Adapter} from '../adapter/adapter.js';
import type {GatewaySettings} from '../settings/gateway-settings.js';
import type {Stoppable} from '../stoppable.js';
import {newChannelCredentials} from '../tls/new-channel-credentials.js';
import {Gateway} from './gateway.js';

/** Starts a gateway with its timers and gRPC channels, and returns the handle to stop it. */
export const startGateway = async (settings: GatewaySettings, logger: Logger, adapter: Adapter): Promise<Stoppable> => {
	const timers = new TimerService(SYSTEM_CLOCK);
	const pool = new ChannelPool(newChannelCredentials(settings.tls));
	const gateway = new Gateway({
		settings, adapter, logger, timers, pool,
	});
	await gateway.start();
	return {
		async stop() {
			await gateway.stop();
			pool.close();
			timers.stop();
		},
		stopNow() {
			gateway.stopNow();
		},
	};
};

import {SYSTEM_CLOCK, TimerService} from '@valelead/common';
import {ChannelPool} from '@valelead/protocol';
import type {Logger} from 'pino';
import {startVoter} from '../control/start-voter.js';
import {newChannelCredentials} from '../tls/new-channel-credentials.js';
import type {EntrySettings} from '../settings/entry-settings.js';
import type {Stoppable} from '../stoppable.js';
import {Entry} from './entry.js';

/** Starts an entry, and a voter in the same process if the settings configure one. */
export const startEntry = async (settings: EntrySettings, logger: Logger): Promise<Stoppable> => {
	const timers = new TimerService(SYSTEM_CLOCK);
	const pool = new ChannelPool(newChannelCredentials(settings.tls));
	const foundation = {
		settings, logger, timers, pool,
	};
	const voter = settings.voter ? await startVoter(foundation, settings.voter) : undefined;
	const entry = new Entry(foundation);
	await entry.start();
	return {
		async stop() {
			await entry.stop();
			await voter?.stop();
			pool.close();
			timers.stop();
		},
		stopNow() {
			entry.stopNow();
		},
	};
};

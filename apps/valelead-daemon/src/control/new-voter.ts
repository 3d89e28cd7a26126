import type {TimerService} from '@valelead/common';
import type {ChannelPool} from '@valelead/protocol';
import type {Logger} from 'pino';
import {flushLogsAndExit} from '../flush-logs-and-exit.js';
import type {VoterOptions} from './voter-options.js';
import {Voter} from './voter.js';

type NewVoterParts = {
	readonly vm: string;
	readonly options: VoterOptions;
	/** False if a voter with an empty data folder may only join a quorum and not form one. */
	readonly mayForm?: boolean;
	/** Addresses at which the controllers of the settings reach each other. */
	readonly controlAddresses: readonly string[];
	readonly logger: Logger;
	readonly timers: TimerService;
	readonly pool: ChannelPool;
};

/** Creates a voter that ends its process when its storage fails permanently. */
export const newVoter = ({vm, options, mayForm, controlAddresses, logger, timers, pool}: NewVoterParts): Voter => new Voter({
	vm,
	settings: options,
	...(mayForm !== undefined && {mayForm}),
	controlAddresses,
	pool,
	timers,
	logger,
	onFailure(error) {
		logger.fatal({event: 'storage-failed', code: error.code, reason: error.message}, 'storage failed');
		flushLogsAndExit(logger, 1);
	},
});

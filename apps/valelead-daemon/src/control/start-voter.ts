import {readFileSync} from 'node:fs';
import type {TimerService} from '@valelead/common';
import {
	type ChannelPool, Consensus, Control, newServiceDefinition,
} from '@valelead/protocol';
import type {Logger} from 'pino';
import {exitWithLogs} from '../exit-with-logs.js';
import {GrpcServer} from '../grpc-server.js';
import {hashKey} from '../hash-key.js';
import {newServerCredentials} from '../tls/new-server-credentials.js';
import type {EntrySettings} from '../settings/entry-settings.js';
import type {VoterSettings} from '../settings/voter-settings.js';
import {Leader} from './leader.js';
import {newConsensusService} from './new-consensus-service.js';
import {newControlService} from './new-control-service.js';
import {Sessions} from './sessions.js';
import {Voter} from './voter.js';

type Foundation = {
	readonly settings: EntrySettings;
	readonly logger: Logger;
	readonly timers: TimerService;
	readonly pool: ChannelPool;
};

type RunningVoter = {
	readonly stop: () => Promise<void>;
};

const HAND_OVER_MS = 300;

/** Starts the voter of an entry: its log, its services, and what it does while it leads. */
export const startVoter = async ({settings, logger, timers, pool}: Foundation, voterSettings: VoterSettings): Promise<RunningVoter> => {
	const voter = new Voter({
		vm: settings.vm,
		settings: voterSettings,
		controlAddresses: settings.controlAddresses,
		pool,
		timers,
		logger,
		onFailure(error) {
			logger.fatal({event: 'storage-failed', code: error.code, reason: error.message}, 'storage failed');
			exitWithLogs(logger, 1);
		},
	});
	const membership = {leaseMs: voterSettings.leaseMs, assumeLostMs: voterSettings.assumeLostMs};
	const leader = new Leader({
		voter, membership, policy: voterSettings.policy, timers, logger,
	});
	const sessions = new Sessions(voter, leader, timers);
	const initialOperatorHash = settings.operatorKeyFile === undefined ? '' : hashKey(readFileSync(settings.operatorKeyFile, 'utf8').trim());
	const server = new GrpcServer([
		{definition: newServiceDefinition(Consensus), implementation: newConsensusService(voter)},
		{
			definition: newServiceDefinition(Control),
			implementation: newControlService({
				voter, leader, sessions, initialOperatorHash,
			}),
		},
	]);
	await voter.open();
	await server.listen(voterSettings.listen, newServerCredentials(settings.tls));
	leader.start();
	sessions.start();
	return {
		async stop() {
			if (voter.node?.isLeader) {
				voter.node.transfer();
				await timers.wait(HAND_OVER_MS);
			}

			sessions.close();
			await voter.stop();
			server.stop();
		},
	};
};

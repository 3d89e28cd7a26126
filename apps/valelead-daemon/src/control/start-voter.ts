import {type TimerService, SYSTEM_CLOCK} from '@valelead/common';
import type {ChannelPool} from '@valelead/protocol';
import type {Logger} from 'pino';
import {newServerCredentials} from '../tls/new-server-credentials.js';
import type {EntrySettings} from '../settings/entry-settings.js';
import type {VoterSettings} from '../settings/voter-settings.js';
import {transferLeadership} from './transfer-leadership.js';
import {LeaderWatch} from './leader-watch.js';
import {newControlPlane} from './new-control-plane.js';
import {newVoter} from './new-voter.js';

type EntryVoterParts = {
	readonly settings: EntrySettings;
	readonly logger: Logger;
	readonly timers: TimerService;
	readonly pool: ChannelPool;
};

type RunningVoter = {
	readonly stop: () => Promise<void>;
};

/** Starts the voter that runs inside an entry: its log, its services and the duties it has while it is the leader. */
export const startVoter = async ({settings, logger, timers, pool}: EntryVoterParts, voterSettings: VoterSettings): Promise<RunningVoter> => {
	const voter = newVoter({
		vm: settings.vm, options: voterSettings, controlAddresses: settings.controlAddresses, logger, timers, pool,
	});
	const watch = new LeaderWatch({
		voter, electionTimeoutMs: voterSettings.electionTimeoutMs, clock: SYSTEM_CLOCK, timers,
	});
	const {leader, sessions, server} = newControlPlane({
		voter,
		watch,
		membership: {leaseMs: voterSettings.leaseMs, assumeLostMs: voterSettings.assumeLostMs},
		policy: voterSettings.policy,
		operatorKeyFile: settings.operatorKeyFile,
		timers,
		logger,
	});
	await voter.open();
	await server.listen(voterSettings.listen, newServerCredentials(settings.tls));
	watch.start();
	leader.start();
	sessions.start();
	return {
		async stop() {
			await transferLeadership(voter, timers);
			sessions.close();
			await voter.stop();
			server.stop();
		},
	};
};

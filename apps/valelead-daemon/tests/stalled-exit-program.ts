import process from 'node:process';
import {flushLogsAndExit, newLogger} from 'valelead-daemon';

const logger = newLogger('info', {vm: 'a', role: 'test'});
logger.info({event: 'stopped'}, 'stopped');
flushLogsAndExit(logger, 0);
const endsAt = performance.now() + Number(process.argv[2]);
while (performance.now() < endsAt) {
	// Stands still.
}

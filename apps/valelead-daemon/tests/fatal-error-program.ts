import process from 'node:process';
import {exitOnFatalError, newLogger} from 'valelead-daemon';

const logger = newLogger('info', {vm: 'a', role: 'test'});
exitOnFatalError(logger);
logger.info({event: 'before'}, 'before');

const throwLater = (thrown: unknown): void => {
	setTimeout(() => {
		throw thrown;
	}, 1);
	setTimeout(() => {
		logger.info({event: 'after'}, 'after');
	}, 2);
};

switch (process.argv[2]) {
	case 'a rejection': {
		void Promise.reject(new Error('faulty'));
		break;
	}

	case 'a value that is thrown': {
		throwLater('faulty');
		break;
	}

	default: {
		throwLater(new Error('faulty'));
	}
}

import process from 'node:process';
import {exitOnFatalError, newLogger} from 'valelead-daemon';

/** Makes lines of about 1 KB. */
const TEXT = 'x'.repeat(900);

const logger = newLogger('info', {vm: 'a', role: 'test'});
exitOnFatalError(logger);
const lines = Number(process.argv[3] ?? 1);
for (let line = 0; line < lines; line += 1) {
	logger.info({event: 'before', text: line === 0 ? '' : TEXT}, 'before');
}

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

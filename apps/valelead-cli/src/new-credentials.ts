import {readFileSync} from 'node:fs';
import {ChannelCredentials} from '@grpc/grpc-js';
import type {CommonOptions} from './common-options.js';

/** How the tool proves itself: with a certificate where files are given. */
export const newCredentials = (options: CommonOptions): ChannelCredentials => {
	if (options.certificateFile === undefined || options.certificateKeyFile === undefined || options.authorityFile === undefined) {
		return ChannelCredentials.createInsecure();
	}

	return ChannelCredentials.createSsl(readFileSync(options.authorityFile), readFileSync(options.certificateKeyFile), readFileSync(options.certificateFile));
};

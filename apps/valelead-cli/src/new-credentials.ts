import {readFileSync} from 'node:fs';
import {ChannelCredentials} from '@grpc/grpc-js';
import type {CommonOptions} from './common-options.js';

/** Creates TLS credentials if all three certificate files are given, and credentials for an unencrypted connection otherwise. */
export const newCredentials = (options: CommonOptions): ChannelCredentials => {
	if (options.certificateFile === undefined || options.certificateKeyFile === undefined || options.authorityFile === undefined) {
		return ChannelCredentials.createInsecure();
	}

	return ChannelCredentials.createSsl(readFileSync(options.authorityFile), readFileSync(options.certificateKeyFile), readFileSync(options.certificateFile));
};

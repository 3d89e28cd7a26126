import {readFileSync} from 'node:fs';
import {ServerCredentials} from '@grpc/grpc-js';
import type {Settings} from '../settings/settings.js';

/** What this process asks of those who connect; with TLS settings, a certificate of the same authority. */
export const newServerCredentials = (tls: Settings['tls']): ServerCredentials => {
	if (!tls) {
		return ServerCredentials.createInsecure();
	}

	const pair = {private_key: readFileSync(tls.keyFile), cert_chain: readFileSync(tls.certificateFile)};
	return ServerCredentials.createSsl(readFileSync(tls.authorityFile), [pair], true);
};

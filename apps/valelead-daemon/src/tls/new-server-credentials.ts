import {readFileSync} from 'node:fs';
import {ServerCredentials} from '@grpc/grpc-js';
import type {Settings} from '../settings/settings.js';

/**
 * Creates the credentials of a gRPC server. With TLS settings, clients must present a certificate of the configured authority. Without them, the
 * server accepts unencrypted and unauthenticated connections.
 */
export const newServerCredentials = (tls: Settings['tls']): ServerCredentials => {
	if (!tls) {
		return ServerCredentials.createInsecure();
	}

	const pair = {private_key: readFileSync(tls.keyFile), cert_chain: readFileSync(tls.certificateFile)};
	return ServerCredentials.createSsl(readFileSync(tls.authorityFile), [pair], true);
};

import {readFileSync} from 'node:fs';
import {ChannelCredentials} from '@grpc/grpc-js';
import type {Settings} from '../settings/settings.js';

type Tls = Settings['tls'];

/** Creates the credentials for outgoing gRPC connections: mutual TLS, or unencrypted and unauthenticated connections without TLS settings. */
export const newChannelCredentials = (tls: Tls): ChannelCredentials => {
	if (!tls) {
		return ChannelCredentials.createInsecure();
	}

	return ChannelCredentials.createSsl(readFileSync(tls.authorityFile), readFileSync(tls.keyFile), readFileSync(tls.certificateFile));
};

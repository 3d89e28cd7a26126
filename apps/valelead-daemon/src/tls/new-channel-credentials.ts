import {readFileSync} from 'node:fs';
import {ChannelCredentials} from '@grpc/grpc-js';
import type {Settings} from '../settings/settings.js';

type Tls = Settings['tls'];

/** How this process proves itself to others; without TLS settings, not at all. */
export const newChannelCredentials = (tls: Tls): ChannelCredentials => {
	if (!tls) {
		return ChannelCredentials.createInsecure();
	}

	return ChannelCredentials.createSsl(readFileSync(tls.authorityFile), readFileSync(tls.keyFile), readFileSync(tls.certificateFile));
};

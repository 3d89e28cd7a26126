import type {ChannelCredentials} from '@grpc/grpc-js';
import {Channel} from './channel.js';

/** One channel for each address. */
export class ChannelPool {
	readonly #credentials: ChannelCredentials;
	readonly #channels = new Map<string, Channel>();

	constructor(credentials: ChannelCredentials) {
		this.#credentials = credentials;
	}

	get(address: string): Channel {
		const known = this.#channels.get(address);
		if (known) {
			return known;
		}

		const channel = new Channel(address, this.#credentials);
		this.#channels.set(address, channel);
		return channel;
	}

	/** Drops the connection to an address; the next call opens a new one. */
	reset(address: string): void {
		this.#channels.get(address)?.close();
		this.#channels.delete(address);
	}

	close(): void {
		for (const channel of this.#channels.values()) {
			channel.close();
		}

		this.#channels.clear();
	}
}

import type {ChannelCredentials} from '@grpc/grpc-js';
import {Channel} from './channel.js';

/** Keeps one channel per address and opens it on first use. */
export class ChannelPool {
	readonly #credentials: ChannelCredentials;
	readonly #channels = new Map<string, Channel>();

	constructor(credentials: ChannelCredentials) {
		this.#credentials = credentials;
	}

	/** Returns the channel to an address. */
	get(address: string): Channel {
		const known = this.#channels.get(address);
		if (known) {
			return known;
		}

		const channel = new Channel(address, this.#credentials);
		this.#channels.set(address, channel);
		return channel;
	}

	/** Closes the channel to an address; the next call to that address opens a new one. */
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

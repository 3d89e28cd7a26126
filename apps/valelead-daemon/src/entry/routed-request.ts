import type {Buffer} from 'node:buffer';

/** A caller's request after its path, key and body were checked. */
export type RoutedRequest = {
	readonly team: string;
	readonly teamWeight: number;
	readonly className: string;
	readonly target: string;
	/** Empty for a service. */
	readonly unit: string;
	/** Empty for a model. */
	readonly service: string;
	readonly method: string;
	readonly path: string;
	readonly contentType: string;
	readonly body: Buffer;
	readonly isStream: boolean;
	readonly isRepeatable: boolean;
	readonly idempotencyKey: string;
};

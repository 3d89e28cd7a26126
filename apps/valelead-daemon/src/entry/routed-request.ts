import type {Buffer} from 'node:buffer';

/** A caller's request after authentication and routing. */
export type RoutedRequest = {
	readonly team: string;
	readonly teamWeight: number;
	readonly className: string;
	readonly target: string;
	/** The key of the model or adapter. Empty for a request to a service. */
	readonly unit: string;
	/** The name of the service. Empty for a request to a model. */
	readonly service: string;
	readonly method: string;
	readonly path: string;
	readonly contentType: string;
	readonly body: Buffer;
	readonly isStream: boolean;
	readonly isRepeatable: boolean;
	readonly idempotencyKey: string;
};

/** A grant as an agent learns of it. */
export type AgentGrant = {
	readonly id: string;
	readonly unit: string;
	readonly base: string;
	readonly memoryBytes: number;
	readonly fence: number;
	readonly isRevoking: boolean;
};

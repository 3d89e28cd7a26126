/** A grant as an agent receives it from the leader: the permission to keep one replica of a unit loaded on its VM. */
export type AgentGrant = {
	readonly id: string;
	readonly unit: string;
	readonly base: string;
	readonly memoryBytes: number;
	readonly fence: number;
	readonly isRevoking: boolean;
};

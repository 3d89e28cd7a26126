import type {PolicySettings} from '@valelead/placement';

/** A class of the deployment. */
type WeighedClass = {
	readonly weight: number;
	readonly deadlineMs: number;
};

/** One of the users' installations at its present size. */
export type Deployment = {
	readonly name: string;
	readonly engines: number;
	readonly models: number;
	readonly memoryGib: number;
	readonly capacity: number;
	readonly classes: Readonly<Record<string, WeighedClass>>;
	readonly policy: PolicySettings;
};

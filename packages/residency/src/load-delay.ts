/** Why the model that an engine should load next is not ordered yet. */
export const LOAD_DELAY = {
	/** Every model that the engine holds is in use or waited for, so none makes way. */
	NoIdleModel: 'no-idle-model',
	/** It would come from the weight store and keep the engine from loads of copies that count more. */
	CopiesFirst: 'copies-first',
} as const;

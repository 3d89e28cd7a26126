/** Kinds of faults and changes that a history of streams injects. */
export const STREAM_FAULT_KIND = {
	KillGateway: 'killGateway',
	FreezeGateway: 'freezeGateway',
	KillHolder: 'killHolder',
	KillAllHolders: 'killAllHolders',
	CutFromHolder: 'cutFromHolder',
	CutOff: 'cutOff',
	EndEngine: 'endEngine',
	AddEngine: 'addEngine',
} as const;

/** States of a unit on a VM, as in charts/unit.chart.json. */
export const UNIT_STATE = {
	/** The unit is granted, but it is not loaded and no order is outstanding. */
	Reserved: 'reserved',
	Loading: 'loading',
	/** An earlier order may still take effect, so the unit may or may not be loaded. */
	Uncertain: 'uncertain',
	Ready: 'ready',
	/** The unit is unloaded once its requests in progress have ended. */
	Draining: 'draining',
	Unloading: 'unloading',
	/** The engine's status has shown that the unit is not loaded, so its memory is free. */
	Gone: 'gone',
} as const;

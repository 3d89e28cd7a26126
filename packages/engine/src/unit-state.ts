/** States of a unit on a VM, as in charts/unit.chart.json. */
export const UNIT_STATE = {
	/** Granted; no order is outstanding and the engine does not hold it. */
	Reserved: 'reserved',
	Loading: 'loading',
	/** An order may still take effect. */
	Uncertain: 'uncertain',
	Ready: 'ready',
	/** To be unloaded once its requests have ended. */
	Draining: 'draining',
	Unloading: 'unloading',
	/** Proved absent. */
	Gone: 'gone',
} as const;

import type {SpeedSamples} from '@valelead/protocol';

/** Returns what a gateway measured at the engine of an address since the last call, and begins anew; undefined if it measured nothing. */
export type TakeSpeedSamples = (engineAddress: string) => SpeedSamples | undefined;

import {Random} from '@valelead/emulator';

/** A source of numbers in [0, 1) that gives the same row for the same seed. */
export const newRandom = (seed: number): (() => number) => new Random(seed).next;

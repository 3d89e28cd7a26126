import type {ModelParameters} from '@valelead/emulator';
import type {Pattern} from './pattern.js';

/** All models of a pattern by name. */
export const newModels = (pattern: Pattern): ReadonlyMap<string, ModelParameters> => new Map(pattern.models.flatMap(({group, count, ...terms}) =>
	Array.from({length: count}, (_, index) => [`${group}${index}`, {...terms, name: `${group}${index}`}] as const)));

/** The name of a model, or of an adapter on it, as one word. */
export const getUnitName = (model: string, adapter: string): string => adapter === '' ? model : `${model}/${adapter}`;

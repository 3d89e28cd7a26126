/** The name of a unit: the name of a model, or `model/adapter` for an adapter. */
export const getUnitName = (model: string, adapter: string): string => adapter === '' ? model : `${model}/${adapter}`;

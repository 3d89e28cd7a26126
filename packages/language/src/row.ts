/** One row of a listing. */
export type Row = Readonly<Record<string, string | number | boolean>>;

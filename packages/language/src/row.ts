/** A row of a listing: field values by field name. */
export type Row = Readonly<Record<string, string | number | boolean>>;

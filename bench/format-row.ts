/** A line of figures: a word that names the measurement, and `name=value` for each figure. */
export const formatRow = (kind: string, figures: Readonly<Record<string, string | number>>): string =>
	[kind, ...Object.entries(figures).map(([name, value]) => `${name}=${value}`)].join(' ');

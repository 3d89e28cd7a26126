const getValue = (scopes, path) => {
	if (path === '.') {
		return scopes[0];
	}

	const [first, ...rest] = path.split('.');
	const scope = scopes.find(candidate => typeof candidate === 'object' && candidate !== null && first in candidate);
	let value = scope?.[first];
	for (const key of rest) {
		value = value?.[key];
	}

	return value;
};

const toText = value => {
	if (value === undefined || value === null) {
		return '';
	}

	if (Array.isArray(value)) {
		return value.join(',');
	}

	return typeof value === 'object' ? JSON.stringify(value) : String(value);
};

const fill = (template, scopes) => template
	.replaceAll(/\{\{#(?<path>[\w.]+)\}\}(?<body>.*?)\{\{\/\k<path>\}\}/gsv, (_match, path, body) => {
		const value = getValue(scopes, path);
		return value === undefined || value === false ? '' : fill(body, [value, ...scopes]);
	})
	.replaceAll(/\{\{(?<path>[\w.]+)(?<form>\|json)?\}\}/gv, (_match, path, form) => {
		const value = getValue(scopes, path);
		return form ? JSON.stringify(value ?? null) : toText(value);
	});

/** Fills a settings template as the platform does, as far as the project's templates need: values, JSON values and sections that stand once. */
export const fillTemplate = (template, fields) => fill(template, [fields]);

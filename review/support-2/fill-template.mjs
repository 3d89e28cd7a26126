const getValue = (fields, name) => {
	let value = fields;
	for (const key of name.split('.')) {
		value = value?.[key];
	}

	return value;
};

const toText = value => {
	if (value === undefined || value === null) {
		return '';
	}

	return typeof value === 'object' ? JSON.stringify(value) : String(value);
};

/** Fills a template of settings as `DEPLOY.md` says: values, values as JSON, and sections that stand if their value is given. */
export const fillTemplate = (template, fields) => template
	.replaceAll(/{{#([\w.]+)}}([\s\S]*?){{\/\1}}/g, (_section, name, text) => getValue(fields, name) ? text : '')
	.replaceAll(/{{([\w.]+)\|json}}/g, (_gap, name) => JSON.stringify(getValue(fields, name)))
	.replaceAll(/{{([\w.]+)}}/g, (_gap, name) => toText(getValue(fields, name)));

/** Calls the function with each item, also after a call that throws. Throws the first error in the end. */
export const visitAll = <Item>(items: Iterable<Item>, visit: (item: Item) => void): void => {
	const errors: unknown[] = [];
	for (const item of items) {
		try {
			visit(item);
		} catch (error) {
			errors.push(error);
		}
	}

	if (errors.length > 0) {
		throw errors[0];
	}
};

/** Names further away than this are not suggested: they are more likely another field than a typing error. */
const MAXIMUM_EDIT_DISTANCE = 3;

/**
Returns the known name that is closest to a mistyped one, or undefined when all are too different.

@example
nearestName('entryid', ['entryId', 'region']);
// => 'entryId'
*/
export function nearestName(name: string, knownNames: readonly string[]): string | undefined {
	const limit = Math.min(MAXIMUM_EDIT_DISTANCE, Math.ceil(name.length / 2));
	let nearest: {readonly name: string; readonly distance: number} | undefined;
	for (const knownName of knownNames) {
		const distance = editDistance(name.toLowerCase(), knownName.toLowerCase());
		if (distance <= limit && (nearest === undefined || distance < nearest.distance)) {
			nearest = {name: knownName, distance};
		}
	}

	return nearest?.name;
}

function editDistance(left: string, right: string): number {
	let previous = Array.from({length: right.length + 1}, (_, index) => index);
	for (const [row, leftCharacter] of [...left].entries()) {
		const current = [row + 1];
		for (const [column, rightCharacter] of [...right].entries()) {
			current.push(Math.min(
				previous[column + 1]! + 1,
				current[column]! + 1,
				previous[column]! + (leftCharacter === rightCharacter ? 0 : 1),
			));
		}

		previous = current;
	}

	return previous[right.length]!;
}

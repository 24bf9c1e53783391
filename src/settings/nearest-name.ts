/** Names further away than this are not offered: they are more likely another field than a typing error. */
const MAXIMUM_DISTANCE = 3;

/**
Finds the known name that is closest to a mistyped one, or none when all are too different.

@example
nearestName('entryid', ['entryId', 'region']);
// => 'entryId'
*/
export function nearestName(name: string, knownNames: readonly string[]): string | undefined {
	const limit = Math.min(MAXIMUM_DISTANCE, Math.ceil(name.length / 2));
	let best: {readonly name: string; readonly distance: number} | undefined;
	for (const knownName of knownNames) {
		const distance = editDistance(name.toLowerCase(), knownName.toLowerCase());
		if (distance <= limit && (best === undefined || distance < best.distance)) {
			best = {name: knownName, distance};
		}
	}

	return best?.name;
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

type Figure = string | number;

/**
Formats one line of key=value pairs; numbers keep four significant digits.

@example
formatFigures({bench: 'scale', placementUs: 41.236}); // => 'bench=scale placementUs=41.24'
*/
export function formatFigures(figures: Readonly<Record<string, Figure>>): string {
	return Object.entries(figures)
		.map(([name, value]) => `${name}=${typeof value === 'number' ? roundFigure(value) : value}`)
		.join(' ');
}

function roundFigure(value: number): number {
	return Math.abs(value) >= 1000 ? Math.round(value) : Number(value.toPrecision(4));
}

/**
Prints one line of key=value pairs.

@example
printFigures({bench: 'scale', sharePercent: 10});
*/
export function printFigures(figures: Readonly<Record<string, Figure>>): void {
	console.log(formatFigures(figures));
}

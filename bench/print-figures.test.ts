import test from 'ava';
import {formatFigures} from './print-figures.js';

// A figure that is cut to an integer, or a long fraction, would make two runs look different or alike when they are not.
test('figures keep four significant digits and whole thousands', t => {
	t.is(formatFigures({
		bench: 'scale', us: 41.236_51, bytes: 12_345.6, count: 0,
	}), 'bench=scale us=41.24 bytes=12346 count=0');
});

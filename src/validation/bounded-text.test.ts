import test from 'ava';
import fc from 'fast-check';
import {boundedText} from './bounded-text.js';
import {oddJson} from './odd-values.js';

test('the text of a value from outside is short and does not recurse, whatever the value is', t => {
	fc.assert(fc.property(oddJson(), text => boundedText(JSON.parse(text)).length <= 101));
	t.is(boundedText(Number.NaN), 'NaN');
	t.is(boundedText(Object.create(null)), 'an object');
});

import {readFileSync} from 'node:fs';
import common from './ava.config.js';

/** Titles of the known failing tests, which are run by hand. */
const knownRed = [...readFileSync(new URL('KNOWN-RED.txt', import.meta.url), 'utf8').matchAll(/^test: soak\/hostile-[\w.\-]+, '(?<title>[^']+)'/gmv)];

/** Tests with hostile clients. They run one at a time, since their crowds take up the machine. */
const ava = {
	...common, files: ['soak/hostile-*.test.ts'], concurrency: 1, match: knownRed.map(({groups: {title}}) => `!${title}`),
};

export default ava;

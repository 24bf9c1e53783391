import {mkdir, rm} from 'node:fs/promises';
import {messageOf} from '../src/errors/message-of.js';
import {bundlePrograms} from './bundle-programs.js';
import {writeCodeCaches} from './write-code-caches.js';

/** Where the platform's deploy file expects what the build produces. */
const directory = 'target';

await rm(directory, {recursive: true, force: true});
await mkdir(directory);
await bundlePrograms(directory);
try {
	await writeCodeCaches(directory);
} catch (error) {
	console.error(`no code caches were made, so that processes start more slowly: ${messageOf(error)}`);
}

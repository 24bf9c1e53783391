import {mkdir, rm} from 'node:fs/promises';
import {bundlePrograms} from './bundle-programs.js';

/** Where the platform's deploy file expects what the build produces. */
const directory = 'target';

await rm(directory, {recursive: true, force: true});
await mkdir(directory);
await bundlePrograms(directory);

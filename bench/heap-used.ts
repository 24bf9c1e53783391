import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');

/**
Returns the bytes of live objects on the heap after a full collection.

@example
const before = heapUsedBytes();
*/
export function heapUsedBytes(): number {
	runInNewContext('gc()');
	return process.memoryUsage().heapUsed;
}

import {readFileSync} from 'node:fs';
import path from 'node:path';
import {parse} from 'yaml';
import {z} from 'zod';

const fileSchema = z.object({timings: z.record(z.string(), z.number())});

/**
Returns the timings of the given role's settings on the users' platform, from `deploy/`.

@example
deployedTimings('entry').leaseDurationMs; // => 9000
*/
export function deployedTimings(role: 'agent' | 'entry'): Readonly<Record<string, number>> {
	const text = readFileSync(path.join(import.meta.dirname, `../deploy/${role}.yaml`), 'utf8');
	// The platform fills in the placeholders. Of the timings, that is the executor's longest lease.
	return fileSchema.parse(parse(text.replaceAll(/\{\{.*?\}\}/gv, '10000'))).timings;
}

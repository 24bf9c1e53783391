import {nameSchema, type Intent} from '../cluster/intent.js';
import {intentOptions} from './intent-options.js';
import {UsageError} from './usage-error.js';

/**
Returns the one intent among the options of `plan`, or the file that holds it. Throws a `UsageError` when there is none or more than one, or when a name is invalid.

@example
parseIntentOptions(option => option === 'drain-vm' ? 'vm-3' : undefined);
// => {kind: 'drain-vm', vmId: 'vm-3'}
*/
export function parseIntentOptions(valueOf: (option: string) => string | undefined): Intent | Readonly<{file: string}> {
	const file = valueOf('intent');
	const given = intentOptions.filter(({option}) => valueOf(option) !== undefined);
	if (given.length + (file === undefined ? 0 : 1) !== 1) {
		throw new UsageError(`state one intent: --intent FILE or one of ${intentOptions.map(({option}) => `--${option}`).join(', ')}`);
	}

	const [first] = given;
	if (first === undefined) {
		return {file: file!};
	}

	const name = nameSchema.safeParse(valueOf(first.option));
	if (!name.success) {
		throw new UsageError(`--${first.option}: ${name.error.issues[0]!.message}`);
	}

	return first.toIntent(name.data);
}

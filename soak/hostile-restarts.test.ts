import test from 'ava';
import {bundleForTests} from './bundle-for-tests.js';
import {requestWithLength} from './hostile-load.js';
import {checkUnderLoad, connectionsLoad, jobPath} from './hostile-site.js';
import {type Site} from './site.js';

/* Guards against a crowd that keeps pressing while the entry itself stops, or while the other decider is killed. */

const body = `{"spec":"${'a'.repeat(250_000)}"}`;

const crowdAt = ({entries: [entry]}: Site) => [connectionsLoad({
	address: entry!.queueAddress,
	connections: 1000,
	bytes: requestWithLength({
		method: 'POST', path: jobPath, body, missingBytes: 1,
	}),
})];

const bundle = bundleForTests(test);

test.serial('an entry that stops under a crowd of large jobs ends by itself and serves when it is back', async t => {
	await checkUnderLoad(t, {
		bundleDirectory: bundle.directory(), role: 'entry', rounds: 2, loadsOn: crowdAt, async whilePressed({entries: [entry]}) {
			const stopping = entry!.current();
			entry!.terminate();
			await entry!.startAgain();
			t.deepEqual(stopping.exit(), {code: 0, signal: undefined});
		},
	});
});

test.serial('an entry outlives a crowd of large jobs while the other decider is killed', async t => {
	await checkUnderLoad(t, {
		bundleDirectory: bundle.directory(), role: 'entry', entryCount: 2, rounds: 2, loadsOn: crowdAt, async whilePressed({entries: [, other]}) {
			other!.kill();
			await other!.startAgain();
		},
	});
});

import test from 'ava';
import fc from 'fast-check';
import {jsonWithOddField, oddJson} from '../validation/odd-values.js';
import {agentSettingsSchema} from './agent-settings.js';
import {entrySettingsSchema} from './entry-settings.js';
import {formatProblem, loadSettings, parseSettings} from './load-settings.js';

const valid = `role: agent
vmId: vm-1
failureDomain: Kambalda
rack: rack-1
requestAddress: 127.0.0.1:9000
entryAddresses:
  - 127.0.0.1:7002
workerUrl: http://127.0.0.1:9100
`;

test('settings that leave out optional fields get the defaults', t => {
	const settings = parseSettings(valid, 'agent.yaml', agentSettingsSchema).unwrapOr(undefined);
	t.is(settings?.timings.heartbeatMs, 1000);
	t.is(settings?.guards.throttleShareMilli, 300);
});

const faults: ReadonlyArray<readonly [name: string, text: string, expected: string]> = [
	[
		'an unknown field names the nearest known one',
		valid.replace('vmId', 'vmid'),
		'agent.yaml:2: vmid: expected a known field; remedy: rename it to "vmId"',
	],
	[
		'an unknown nested field names the nearest known one',
		`${valid}timings:\n  heartbeat: 5\n  heartbeatMS: 500\n`,
		'agent.yaml:11: timings.heartbeatMS: expected a known field; remedy: rename it to "heartbeatMs"',
	],
	[
		'an unknown field that is like no other lists the known ones',
		`${valid}metrics:\n  colour: red\n`,
		'agent.yaml:10: metrics.colour: expected a known field; remedy: remove it; known fields here: statsdAddress, textAddress, prefix',
	],
	[
		'a missing field',
		valid.replace('rack: rack-1\n', ''),
		'agent.yaml:1: rack: expected text, but it is missing; remedy: add rack (Rack that this VM is in)',
	],
	[
		'a value of another type',
		`${valid}guards:\n  enabled: perhaps\n`,
		'agent.yaml:10: guards.enabled: expected true or false; remedy: change guards.enabled (Whether batch tasks are throttled and evicted for services)',
	],
	[
		'a value below its bound',
		`${valid}timings: {heartbeatMs: 1}\n`,
		'agent.yaml:9: timings.heartbeatMs: expected a value of at least 50; remedy: change timings.heartbeatMs (Time between two heartbeats to each entry)',
	],
	[
		'an item of a list',
		valid.replace('127.0.0.1:7002', 'localhost'),
		'agent.yaml:7: entryAddresses.0: expected another form: use an IP number and a port, such as 127.0.0.1:8080; remedy: change entryAddresses.0',
	],
	[
		'a value that is not one of a list',
		`${valid}logLevel: loud\n`,
		'agent.yaml:9: logLevel: expected "debug" or "info" or "warn" or "error"; remedy: change logLevel (Least severe level that is logged)',
	],
	[
		'a field that is set twice',
		`${valid}rack: rack-2\n`,
		'agent.yaml:9: expected valid YAML, but map keys must be unique; remedy: correct the YAML at this line',
	],
];

for (const [name, text, expected] of faults) {
	test(`settings error names file, line, field, expectation and remedy: ${name}`, t => {
		const settings = parseSettings(text, 'agent.yaml', agentSettingsSchema);
		const problems = settings.isErr ? settings.error.problems.map(problem => formatProblem(problem)) : [];
		t.is(problems.find(problem => problem === expected) ?? problems.join('\n'), expected);
	});
}

test('nested aliases that would expand without bound are refused', t => {
	const levels = Array.from({length: 9}, (_, level) => `l${level + 1}: &l${level + 1} [${Array.from({length: 9}).fill(`*l${level}`).join(', ')}]`);
	const settings = parseSettings(['l0: &l0 [x]', ...levels].join('\n'), 'agent.yaml', agentSettingsSchema);
	t.regex(settings.isErr ? settings.error.message : '', /aliases/v);
});

test('a missing file is an error with a remedy, not a crash', async t => {
	const settings = await loadSettings('no-such-directory/agent.yaml', agentSettingsSchema);
	t.is(settings.isErr && settings.error.kind, 'settings-unreadable');
});

const agentSettings = {
	role: 'agent', vmId: 'vm-1', failureDomain: 'a', rack: 'r', requestAddress: '127.0.0.1:0', entryAddresses: ['127.0.0.1:7002'], platform: {
		storeAddress: '10.0.0.1:80', seedAddresses: ['10.0.0.2:80'], entryAgentPort: 7720, controlAddress: '127.0.0.1:0', workerAddress: '10.0.0.3:80', service: 's',
	}, timings: {heartbeatMs: 1000},
};

const entrySettings = {
	role: 'entry', entryId: 'edge-1', failureDomain: 'a', processors: 2, callerAddress: '127.0.0.1:0', operatorAddress: '127.0.0.1:0', agentAddress: '10.0.0.1:0',
	peerOperatorAddresses: ['10.0.0.2:80'], platform: {
		storeAddress: '10.0.0.1:80', queueAddress: '10.0.0.1:0', readinessAddress: '10.0.0.1:0', adviceAddress: '', machinesAddress: '10.0.0.9:80',
	}, timings: {entryHeartbeatMs: 300},
};

const problemsOf = (settings: unknown, schema: typeof agentSettingsSchema | typeof entrySettingsSchema): string => {
	const parsed = parseSettings(JSON.stringify(settings), 'settings.yaml', schema);
	return parsed.isErr ? parsed.error.problems.map(({field}) => field).join(',') : '';
};

test('an address to listen at may leave the port to the system, an address of a server may not', t => {
	t.is(problemsOf(agentSettings, agentSettingsSchema), '');
	t.is(problemsOf(entrySettings, entrySettingsSchema), '');
	const {platform} = agentSettings;
	t.is(problemsOf({...agentSettings, platform: {...platform, storeAddress: '10.0.0.1:0', workerAddress: '10.0.0.3:99999'}}, agentSettingsSchema), 'platform.storeAddress,platform.workerAddress');
	t.is(problemsOf({...entrySettings, peerOperatorAddresses: ['999.0.0.2:80'], callerAddress: '127.0.0.1:65536'}, entrySettingsSchema), 'callerAddress,peerOperatorAddresses.0');
	t.is(problemsOf({...entrySettings, platform: {...entrySettings.platform, machinesAddress: '10.0.0.9:99999'}}, entrySettingsSchema), 'platform.machinesAddress');
});

test('a time that no timer can wait for is refused, since the timer would run at once', t => {
	t.is(problemsOf({...agentSettings, timings: {heartbeatMs: 9_000_000_000_000_000}}, agentSettingsSchema), 'timings.heartbeatMs');
	t.is(problemsOf({...entrySettings, timings: {entryHeartbeatMs: 2_147_483_648}}, entrySettingsSchema), 'timings.entryHeartbeatMs');
});

test('settings that nest without end are refused, not a crash', t => {
	const parsed = parseSettings(`${valid}platform: ${'['.repeat(50_000)}${']'.repeat(50_000)}`, 'agent.yaml', agentSettingsSchema);
	t.is(parsed.isErr && parsed.error.kind, 'settings-invalid');
});

test('whatever a template writes into the settings, they are accepted or refused with a reason', t => {
	const isAnswered = (text: string): boolean => [agentSettingsSchema, entrySettingsSchema].every(schema => {
		const parsed = parseSettings(text, 'settings.yaml', schema);
		return parsed.isOk || parsed.error.message.length > 0;
	});

	t.notThrows(() => {
		fc.assert(fc.property(fc.oneof(jsonWithOddField(agentSettings), jsonWithOddField(entrySettings), oddJson()), text => isAnswered(text)));
	});
});

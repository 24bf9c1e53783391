import {Buffer} from 'node:buffer';
import {isDeepStrictEqual} from 'node:util';
import test from 'ava';
import fc from 'fast-check';
import {ok} from 'true-myth/result';
import {buildLog, randomCommands} from '../cluster/random-log.js';
import {decisionFixture} from '../operator/state-fixture.js';
import {describePlacement} from '../cluster/describe-placement.js';
import {type Step, type Workflow} from '../cluster/workflow.js';
import {jsonWithOddField, oddBytes, oddJson} from '../validation/odd-values.js';
import {type LogEnvelope, logEnvelopeSchema} from './log-envelope.js';
import {decodeLogValue, encodeLogValue} from './log-value.js';

const envelopeOf = (record: LogEnvelope['record']): LogEnvelope => ({
	writer: 'entry-1', incarnation: 'e5f0', sequence: 3, record,
});

const claim: LogEnvelope['record'] = {
	kind: 'task-claimed',
	taskId: 'task-1',
	attempt: 2,
	vmId: 'vm-1',
	agentIncarnation: 'agent-1',
	committed: {processorsMilli: 340, memoryMb: 600, accelerators: 0},
	evictTaskIds: ['task-2'],
	decision: {...decisionFixture, reason: describePlacement(2, 2)},
};

const packedKindRecords: ReadonlyArray<LogEnvelope['record']> = [
	claim,
	{...claim, decision: decisionFixture},
	{...claim, decision: {...decisionFixture, reason: describePlacement(1, 24)}},
	{...claim, decision: {...decisionFixture, reason: 'best score of 01 feasible VMs among 2 considered'}},
	{...claim, decision: {...decisionFixture, candidates: decisionFixture.candidates.map(({inputs: _, ...rest}) => rest)}},
	{...claim, evictTaskIds: [], decision: {...decisionFixture, candidates: [{...decisionFixture.candidates[0]!, inputs: {packs: true, evictions: 2, failedBefore: true}}]}},
	{
		kind: 'task-started', taskId: 'task-1', attempt: 1, agentIncarnation: 'agent-1',
	},
	{
		kind: 'task-ended', taskId: 'task-1', attempt: 1, agentIncarnation: 'agent-1', outcome: 'refused-not-run', reason: '',
	},
];
const packedKindEnvelopes = packedKindRecords.map(record => envelopeOf(record));

test('every record is decoded as it was encoded', t => {
	for (const envelope of packedKindEnvelopes) {
		t.deepEqual(decodeLogValue(encodeLogValue(envelope)), ok(envelope));
	}

	t.notThrows(() => {
		fc.assert(fc.property(randomCommands, list => {
			for (const {envelope} of buildLog(list)) {
				const read = decodeLogValue(encodeLogValue(envelope));
				if (!read.isOk || !isDeepStrictEqual(read.value, envelope)) {
					throw new Error(`${JSON.stringify(envelope)} was decoded as ${JSON.stringify(read)}`);
				}
			}
		}), {numRuns: 50});
	});
});

test('records of packed kinds that are stored with field names are still decoded', t => {
	for (const envelope of packedKindEnvelopes) {
		t.deepEqual(decodeLogValue(JSON.stringify(envelope)), ok(envelope));
	}
});

type ValuePath = ReadonlyArray<string | number>;

/** Returns the paths of all parts of a value at every depth, but not the empty path of the value itself. */
function pathsIn(value: unknown, path: ValuePath = []): readonly ValuePath[] {
	return typeof value === 'object' && value !== null
		? Object.entries(value).flatMap(([name, part]) => [[...path, name], ...pathsIn(part, [...path, name])])
		: [];
}

function replaceAt(value: unknown, [first, ...rest]: ValuePath, part: unknown): unknown {
	if (first === undefined) {
		return part;
	}

	if (Array.isArray(value)) {
		return value.map((each: unknown, index) => String(index) === String(first) ? replaceAt(each, rest, part) : each);
	}

	const entries: ReadonlyArray<[string, unknown]> = typeof value === 'object' && value !== null ? Object.entries(value) : [];
	return Object.fromEntries(entries.map(([name, each]) => [name, name === String(first) ? replaceAt(each, rest, part) : each]));
}

// Records of packed kinds are checked by functions of their own instead of the schema. A value that these accept but the schema rejects could break a reader.
test('a damaged value is rejected or decoded to a record that the schema accepts', t => {
	const parts = fc.oneof(fc.jsonValue(), fc.constantFrom<unknown>(-1, 0, 1.5, '', 'a b', true, false, null, [], {}, {packs: false}, {other: 1}, 2 ** 60, ['x', 'y', 'z', 'w']));
	t.notThrows(() => {
		fc.assert(fc.property(fc.constantFrom(...packedKindEnvelopes), fc.nat(), parts, (envelope, place, part) => {
			const packed: unknown = JSON.parse(encodeLogValue(envelope));
			const paths = pathsIn(packed);
			const damaged = JSON.stringify(replaceAt(packed, paths[place % paths.length]!, part));
			const read = decodeLogValue(damaged);
			if (read.isOk) {
				logEnvelopeSchema.parse(read.value);
			}
		}), {numRuns: 5000});
	});
});

function fieldsOf(value: string): readonly unknown[] {
	const content: unknown = JSON.parse(value);
	return Array.isArray(content) ? content as unknown[] : [];
}

test('missing and surplus fields, unknown kinds and text are rejected', t => {
	for (const envelope of packedKindEnvelopes) {
		const packed = fieldsOf(encodeLogValue(envelope));
		t.true(decodeLogValue(JSON.stringify(packed.slice(0, -1))).isErr);
		t.true(decodeLogValue(JSON.stringify([...packed, 1])).isErr);
		t.true(decodeLogValue(JSON.stringify([...packed.slice(0, 3), 'toString', ...packed.slice(4)])).isErr);
	}

	for (const value of ['', '[]', '{}', 'null', '1', '"x"', '{"writer":1}']) {
		t.true(decodeLogValue(value).isErr, `${value} is decoded`);
	}
});

const nestedList = `${'['.repeat(50_000)}${']'.repeat(50_000)}`;

for (const [name, value] of [
	['the kind', `["entry-1","e5f0",1,${nestedList}]`],
	['the writer', `[${nestedList},"e5f0",1,"task-started","task-1",1,"agent-1"]`],
	['a field', `["entry-1","e5f0",1,"task-started",${nestedList},1,"agent-1"]`],
	['the kind of a record with field names', `{"writer":"entry-1","incarnation":"e5f0","sequence":1,"record":{"kind":${nestedList}}}`],
	['the whole value', nestedList],
]) {
	test(`a record in which ${name} is nested 50,000 deep does not end its reader`, t => {
		const read = decodeLogValue(value!);
		t.true(read.isErr && read.error.length <= 400);
	});
}

const registration: LogEnvelope['record'] = {
	kind: 'vm-registered',
	vmId: 'vm-1',
	agentIncarnation: 'a1',
	workerIncarnation: 'w1',
	failureDomain: 'a',
	rack: 'r',
	requestAddress: '127.0.0.1:7300',
	capacity: {processorsMilli: 4000, memoryMb: 100, accelerators: 0},
	runningTasks: [],
	workerStartedAtMs: 5,
};
const step: Step = {count: 1, demand: {processorsMilli: 1, memoryMb: 1, accelerators: 0}, declaredRunTimeMs: 1};
const schedule = {firstAtMs: 1000, intervalMs: 10, times: 2};
const workflow: Workflow = {
	queue: 'q', service: 's', payload: '', maxFailures: 3, schedule, steps: [step],
};
const submission: LogEnvelope['record'] = {
	kind: 'job-submitted', job: {
		jobId: 'j', teamId: 't', workClass: 'batch', priority: 'normal', tasks: [], workflow,
	},
};
const entryRegistration: LogEnvelope['record'] = {
	kind: 'entry-registered', entryId: 'entry-1', failureDomain: 'a', operatorAddress: '127.0.0.1:7001', processorsMilli: 1000,
};

const withWorkflow = (changes: Partial<typeof workflow>): LogEnvelope['record'] => ({kind: 'job-submitted', job: {...submission.job, workflow: {...workflow, ...changes}}});

const unusableRecords: ReadonlyArray<readonly [string, LogEnvelope['record']]> = [
	['a port out of range', {...registration, requestAddress: '127.0.0.1:99999'}],
	['no port', {...registration, requestAddress: '127.0.0.1'}],
	['an operator address with a port out of range', {...entryRegistration, operatorAddress: '127.0.0.1:99999'}],
	['a capacity of more than the messages to agents carry', {...registration, capacity: {processorsMilli: 4000, memoryMb: 4_294_967_296, accelerators: 0}}],
	['a committed amount of more than the messages to agents carry', {...claim, committed: {processorsMilli: 4000, memoryMb: 4_294_967_296, accelerators: 0}}],
	['a start before 1970', {...registration, workerStartedAtMs: -1}],
	['a start after the largest date', {...registration, workerStartedAtMs: 9e15}],
	['an occurrence after the largest date', withWorkflow({schedule: {...schedule, firstAtMs: 9e15}})],
	['an interval after the largest date', withWorkflow({schedule: {...schedule, intervalMs: 9e15}})],
	['tasks without end', withWorkflow({steps: [{...step, count: 1e15}]})],
	['dependencies without end', withWorkflow({steps: [step, {...step, dependsOn: Array.from({length: 100_000}, () => 0)}]})],
	['an attempt of more than the messages to agents carry', {...claim, attempt: 4_294_967_296}],
	['a very long name of its service', {...registration, service: 'x'.repeat(200_000)}],
];

for (const [name, record] of unusableRecords) {
	test(`a record with ${name} is not used`, t => {
		t.true(decodeLogValue(encodeLogValue(envelopeOf(record))).isErr);
		t.true(decodeLogValue(JSON.stringify(envelopeOf(record))).isErr);
	});
}

test('a very long reason is cut, since the state keeps it, and its record is used', t => {
	const ended: LogEnvelope['record'] = {
		kind: 'task-ended', taskId: 'task-1', attempt: 1, agentIncarnation: 'agent-1', outcome: 'failed', reason: 'x'.repeat(200_000),
	};
	for (const value of [encodeLogValue(envelopeOf(ended)), JSON.stringify(envelopeOf(ended))]) {
		const read = decodeLogValue(value);
		t.true(read.isOk && read.value.record.kind === 'task-ended' && read.value.record.reason.length === 1000);
	}
});

/** A record of each kind that random logs contain, in its stored form. */
const storedByKind = new Map<string, string>(fc.sample(randomCommands, 20).flatMap(list => buildLog(list))
	.map(({envelope}) => [envelope.record.kind, encodeLogValue(envelope)]));
for (const record of [registration, submission, entryRegistration, claim]) {
	storedByKind.set(`${record.kind}/full`, encodeLogValue(envelopeOf(record)));
}

test('no value of the log throws, and what is decoded fits the schema', t => {
	t.true(storedByKind.size > 20);
	const odd = fc.constantFrom(...storedByKind.values()).chain(stored => jsonWithOddField(JSON.parse(stored)));
	t.notThrows(() => {
		fc.assert(fc.property(fc.oneof({weight: 8, arbitrary: odd}, oddJson(), oddBytes().map(bytes => Buffer.from(bytes).toString())), value => {
			const read = decodeLogValue(value);
			if (read.isOk) {
				logEnvelopeSchema.parse(read.value);
			} else if (read.error.length > 400) {
				throw new Error('the reason is not bounded');
			}
		}), {numRuns: 1500});
	});
});

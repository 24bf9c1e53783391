import {isDeepStrictEqual} from 'node:util';
import test from 'ava';
import fc from 'fast-check';
import {ok} from 'true-myth/result';
import {buildLog, randomCommands} from '../cluster/random-log.js';
import {decisionFixture} from '../operator/state-fixture.js';
import {describePlacement} from '../cluster/describe-placement.js';
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

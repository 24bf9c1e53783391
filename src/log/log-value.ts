import {err, ok, type Result} from 'true-myth/result';
import {
	maxIdLength, maxPolicyLength, type ClusterRecord, type ClusterRecordOf, type PlacementDecision, type ScoreInputs,
} from '../cluster/cluster-record.js';
import {describePlacement} from '../cluster/describe-placement.js';
import {cutFreeText} from '../cluster/free-text.js';
import {type Resources} from '../cluster/resources.js';
import {boundedText} from '../validation/bounded-text.js';
import {isCount, isResourceAmount} from '../validation/bounds.js';
import {describeIssues} from '../validation/describe-issues.js';
import {isName} from '../validation/name.js';
import {parseJson} from '../validation/parse-json.js';
import {type LogEnvelope, logEnvelopeSchema} from './log-envelope.js';

/**
Record kinds that are written for every task run. Every entry reads all of them, so they are encoded as tuples without field names
and checked by the functions below instead of the schema.
*/
type PackedKind = 'task-claimed' | 'task-started' | 'task-ended';

type Packing<Kind extends PackedKind> = Readonly<{
	pack: (record: ClusterRecordOf<Kind>) => readonly unknown[];
	/** Returns `undefined` for fields that the record's schema would reject. */
	unpack: (fields: readonly unknown[]) => ClusterRecordOf<Kind> | undefined;
}>;

const isString = (value: unknown): value is string => typeof value === 'string';
const isInt = (value: unknown): value is number => Number.isSafeInteger(value);
const isAmount = (value: unknown): value is number => isInt(value) && value >= 0;
const isPositive = (value: unknown): value is number => isInt(value) && value > 0;
const isId = (value: unknown): value is string => isString(value) && value.length <= maxIdLength;

const maxEvictedTasks = 16;
const maxCandidates = 3;

const outcomes: ReadonlySet<unknown> = new Set<ClusterRecordOf<'task-ended'>['outcome']>(['finished', 'failed', 'refused-not-run', 'cancelled']);
const isOutcome = (value: unknown): value is ClusterRecordOf<'task-ended'>['outcome'] => outcomes.has(value);

const packResources = ({processorsMilli, memoryMb, accelerators}: Resources): readonly number[] => [processorsMilli, memoryMb, accelerators];

function unpackResources(values: unknown): Resources | undefined {
	if (!Array.isArray(values) || values.length !== 3) {
		return undefined;
	}

	const [processorsMilli, memoryMb, accelerators] = values as readonly unknown[];
	return isResourceAmount(processorsMilli) && isResourceAmount(memoryMb) && isResourceAmount(accelerators) ? {processorsMilli, memoryMb, accelerators} : undefined;
}

const scoreInputChecks: Readonly<Record<keyof ScoreInputs, (value: unknown) => boolean>> = {
	serviceHarmMilli: isInt,
	siblingsInRack: isPositive,
	siblingsInFailureDomain: isPositive,
	failedBefore: value => value === true,
	wastesAccelerators: value => value === true,
	evictions: isPositive,
	packs: value => value === true,
};

const isScoreInput = (name: string): name is keyof ScoreInputs => Object.hasOwn(scoreInputChecks, name);

function isScoreInputs(value: unknown): value is ScoreInputs {
	return typeof value === 'object' && value !== null && !Array.isArray(value)
		&& Object.entries(value).every(([name, input]) => isScoreInput(name) && scoreInputChecks[name](input));
}

type Candidate = PlacementDecision['candidates'][number];

const packCandidate = ({vmId, scoreMilli, harmMilli, room, inputs}: Candidate): readonly unknown[] =>
	[vmId, scoreMilli, harmMilli, packResources(room), ...(inputs ? [inputs] : [])];

function unpackCandidate(values: unknown): Candidate | undefined {
	if (!Array.isArray(values) || values.length < 4 || values.length > 5) {
		return undefined;
	}

	const [vmId, scoreMilli, harmMilli, packedRoom, packedInputs] = values as readonly unknown[];
	const room = unpackResources(packedRoom);
	if (!isName(vmId) || !isInt(scoreMilli) || !isInt(harmMilli) || !room) {
		return undefined;
	}

	if (values.length === 4) {
		return {
			vmId, scoreMilli, harmMilli, room,
		};
	}

	return isScoreInputs(packedInputs)
		? {
			vmId, scoreMilli, harmMilli, room, inputs: packedInputs,
		}
		: undefined;
}

const reasonPattern = /^best score of (\d{1,15}) feasible/v;

/** Returns only the number of feasible VMs when the reason is the text that `describePlacement` builds from it. */
function packReason({reason, consideredVms}: PlacementDecision): string | number {
	const feasibleVms = Number(reasonPattern.exec(reason)?.[1]);
	return reason === describePlacement(feasibleVms, consideredVms) ? feasibleVms : reason;
}

const packDecision = (decision: PlacementDecision): readonly unknown[] => [
	decision.policy,
	decision.seed,
	decision.stateOffset,
	decision.candidates.map(candidate => packCandidate(candidate)),
	decision.consideredVms,
	packReason(decision),
];

function unpackDecision(values: unknown): PlacementDecision | undefined {
	if (!Array.isArray(values) || values.length !== 6) {
		return undefined;
	}

	const [policy, seed, stateOffset, packedCandidates, consideredVms, reason] = values as readonly unknown[];
	if (!isString(policy) || policy.length > maxPolicyLength || !isInt(seed) || !isInt(stateOffset)) {
		return undefined;
	}

	if (!Array.isArray(packedCandidates) || packedCandidates.length > maxCandidates || !isAmount(consideredVms)) {
		return undefined;
	}

	const candidates = packedCandidates.map(candidate => unpackCandidate(candidate)).filter(candidate => candidate !== undefined);
	if (candidates.length !== packedCandidates.length || !(isString(reason) || isAmount(reason))) {
		return undefined;
	}

	return {
		policy, seed, stateOffset, candidates, consideredVms, reason: isString(reason) ? cutFreeText(reason) : describePlacement(reason, consideredVms),
	};
}

const packings: {readonly [Kind in PackedKind]: Packing<Kind>} = {
	'task-claimed': {
		pack: ({taskId, attempt, vmId, agentIncarnation, committed, evictTaskIds, decision}) =>
			[taskId, attempt, vmId, agentIncarnation, packResources(committed), evictTaskIds, packDecision(decision)],
		unpack(fields) {
			const [taskId, attempt, vmId, agentIncarnation, packedCommitted, evictTaskIds, packedDecision] = fields;
			const committed = unpackResources(packedCommitted);
			const decision = unpackDecision(packedDecision);
			const isValid = fields.length === 7 && isName(taskId) && isCount(attempt) && isName(vmId) && isName(agentIncarnation);
			if (!isValid || !committed || !decision || !Array.isArray(evictTaskIds) || evictTaskIds.length > maxEvictedTasks || !evictTaskIds.every(id => isName(id))) {
				return undefined;
			}

			return {
				kind: 'task-claimed', taskId, attempt, vmId, agentIncarnation, committed, evictTaskIds, decision,
			};
		},
	},
	'task-started': {
		pack: ({taskId, attempt, agentIncarnation}) => [taskId, attempt, agentIncarnation],
		unpack(fields) {
			const [taskId, attempt, agentIncarnation] = fields;
			return fields.length === 3 && isName(taskId) && isCount(attempt) && isName(agentIncarnation)
				? {
					kind: 'task-started', taskId, attempt, agentIncarnation,
				}
				: undefined;
		},
	},
	'task-ended': {
		pack: ({taskId, attempt, agentIncarnation, outcome, reason}) => [taskId, attempt, agentIncarnation, outcome, reason],
		unpack(fields) {
			const [taskId, attempt, agentIncarnation, outcome, reason] = fields;
			return fields.length === 5 && isName(taskId) && isCount(attempt) && isName(agentIncarnation) && isOutcome(outcome) && isString(reason)
				? {
					kind: 'task-ended', taskId, attempt, agentIncarnation, outcome, reason: cutFreeText(reason),
				}
				: undefined;
		},
	},
};

const isPackedKind = (kind: unknown): kind is PackedKind => typeof kind === 'string' && Object.hasOwn(packings, kind);

function packFields(record: ClusterRecord): readonly unknown[] | undefined {
	if (record.kind === 'task-claimed') {
		return packings['task-claimed'].pack(record);
	}

	if (record.kind === 'task-started') {
		return packings['task-started'].pack(record);
	}

	return record.kind === 'task-ended' ? packings['task-ended'].pack(record) : undefined;
}

/**
Returns an envelope as it is stored in the log.

@example
encodeLogValue({writer: 'entry-1', incarnation: 'e5f0', sequence: 1, record: {kind: 'entry-alive', appliedOffset: 7}});
*/
export function encodeLogValue(envelope: LogEnvelope): string {
	const {writer, incarnation, sequence, record} = envelope;
	const fields = packFields(record);
	return JSON.stringify(fields ? [writer, incarnation, sequence, record.kind, ...fields] : envelope);
}

/**
Decodes a value that {@link encodeLogValue} returned, and also a record of a packed kind that is stored with its field names. Fails
with a short reason for any other value.

@example
decodeLogValue('["entry-1","e5f0",2,"task-started","task-1",1,"agent-1"]').map(({record}) => record.kind); // => Ok('task-started')
*/
export function decodeLogValue(value: string): Result<LogEnvelope, string> {
	return parseJson(value).andThen(content => Array.isArray(content) ? unpackEnvelope(content) : parseEnvelope(content));
}

function parseEnvelope(content: unknown): Result<LogEnvelope, string> {
	const envelope = logEnvelopeSchema.safeParse(content);
	return envelope.success ? ok(envelope.data) : err(describeIssues(envelope.error));
}

function unpackEnvelope(values: readonly unknown[]): Result<LogEnvelope, string> {
	const [writer, incarnation, sequence, kind, ...fields] = values;
	const record = isPackedKind(kind) ? packings[kind].unpack(fields) : undefined;
	return record && isId(writer) && isId(incarnation) && isPositive(sequence)
		? ok({
			writer, incarnation, sequence, record,
		})
		: err(`a tuple with unknown kind or fields: ${boundedText(kind)}`);
}

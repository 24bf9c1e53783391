import fc from 'fast-check';
import {type LoggedRecord} from '../log/log-envelope.js';
import {type ClusterRecord} from './cluster-record.js';
import {type ClusterState} from './cluster-state.js';
import {applyRecord, emptyClusterState} from './reduce-cluster.js';
import {type Resources} from './resources.js';

/** Random logs for property tests. The records are about a small set of entities, so that they often concern the same ones. */

const commandKinds = [
	'register-vm',
	'bound-contact',
	'unreachable',
	'reachable',
	'revoke',
	'lease-expired',
	'announce',
	'leaving',
	'gone',
	'submit',
	'cancel',
	'claim',
	'claim',
	'claim',
	'evicting-claim',
	'evicting-claim',
	'started',
	'started',
	'ended',
	'checkpointed',
	'checkpointed',
	'evict',
	'key',
	'key',
	'expire-keys',
	'quota',
	'service',
	'drain',
	'return',
	'end-entry',
	'duplicate',
	'quarantine',
	'evacuation',
] as const;

export type Command = Readonly<{kind: typeof commandKinds[number]; writer: number; a: number; b: number; c: number; isFaulty: boolean}>;

export const randomCommands: fc.Arbitrary<readonly Command[]> = fc.array(fc.record({
	kind: fc.constantFrom(...commandKinds),
	writer: fc.nat(2),
	a: fc.nat(999),
	b: fc.nat(999),
	c: fc.nat(999),
	// One command in eight is faulty, for example with an old attempt or an old incarnation.
	isFaulty: fc.nat(7).map(value => value === 0),
}), {minLength: 40, maxLength: 160});

export const resourcesOfCores = (cores: number): Resources => ({processorsMilli: cores * 1000, memoryMb: cores * 100, accelerators: 0});

const decision = {
	policy: 'test', seed: 1, stateOffset: 0, candidates: [], consideredVms: 1, reason: 'test',
};

function planRecord(state: ClusterState, intent: Extract<ClusterRecord, {kind: 'plan-confirmed'}>['plan']['intent']): ClusterRecord {
	return {
		kind: 'plan-confirmed',
		plan: {
			planId: `plan-${state.offset}`, intent, baseOffset: state.offset, touches: [], summary: [], createdAtMs: 0, expiresAtMs: 1,
		},
	};
}

function claimRecord(state: ClusterState, {a, b, c, isFaulty}: Command, evicts: boolean): ClusterRecord {
	const queued = [...state.queued.values()].flatMap(queue => [...queue.keys()]);
	const all = [...state.tasks.keys()].toSorted();
	const candidates = isFaulty || c % 5 === 0 || queued.length === 0 ? all : queued;
	const taskId = candidates[a % Math.max(1, candidates.length)] ?? 'none';
	const vmId = `vm-${b % 3}`;
	const vm = state.vms.get(vmId);
	return {
		kind: 'task-claimed',
		taskId,
		attempt: (state.tasks.get(taskId)?.attempt ?? 0) + (isFaulty && c % 2 === 0 ? 0 : 1) || 1,
		vmId,
		agentIncarnation: isFaulty && c % 3 === 0 ? `${vmId}-i0` : vm?.agentIncarnation ?? 'none',
		committed: resourcesOfCores(1 + (c % 4)),
		evictTaskIds: evicts ? [...vm?.taskIds ?? []].toSorted().slice(0, 1 + (c % 3)) : [],
		decision,
	};
}

/** Returns the record that a command writes in a state. */
function recordOf(state: ClusterState, command: Command): ClusterRecord {
	const {a, b, c, isFaulty} = command;
	const vmId = `vm-${a % 3}`;
	const agentIncarnation = isFaulty ? `${vmId}-i0` : state.vms.get(vmId)?.agentIncarnation ?? 'none';
	const agent = {vmId, agentIncarnation};
	const live = [...state.tasks.values()].filter(task => task.claim).toSorted((x, y) => x.spec.taskId < y.spec.taskId ? -1 : 1);
	const task = live[b % Math.max(1, live.length)];
	const attempt = {
		taskId: task?.spec.taskId ?? 'none',
		attempt: Math.max(1, (task?.attempt ?? 1) - (isFaulty ? 1 : 0)),
		agentIncarnation: isFaulty && c % 2 === 0 ? 'vm-0-i0' : task?.claim?.agentIncarnation ?? 'none',
	};
	const backendServerId = `b${b % 4}`;
	const server = {...agent, backendServerId};
	const recordFactories: Readonly<Record<Command['kind'], () => ClusterRecord>> = {
		'register-vm': () => ({
			kind: 'vm-registered',
			vmId,
			agentIncarnation: isFaulty ? `${vmId}-i0` : `${vmId}-i${state.offset}`,
			workerIncarnation: `${vmId}-w${c % 2}`,
			failureDomain: `domain-${a % 2}`,
			rack: 'rack-1',
			requestAddress: `127.0.0.${1 + (b % 2)}:7300`,
			workerStartedAtMs: 1 + (c % 4),
			capacity: resourcesOfCores(4 + (c % 4)),
			...(c % 8 === 7
				? {workerLost: true as const, runningTasks: []}
				: {
					runningTasks: [...state.vms.get(vmId)?.taskIds ?? []].toSorted().filter((_, index) => (b + index) % 3 > 0)
						.map(taskId => ({taskId, attempt: state.tasks.get(taskId)?.attempt ?? 1})),
				}),
		}),
		'bound-contact': () => ({kind: 'vm-bounds-contact', ...agent, limitMs: 1000 * (c % 8)}),
		unreachable: () => ({kind: 'vm-unreachable', ...agent}),
		reachable: () => ({kind: 'vm-reachable', ...agent}),
		revoke: () => ({kind: 'vm-revoked', ...agent, reason: 'test'}),
		'lease-expired': () => ({kind: 'vm-lease-expired', ...agent}),
		announce: () => ({
			kind: 'backend-server-announced', ...server, service: `service-${c % 2}`, slots: 8, connections: 64,
		}),
		leaving: () => ({kind: 'backend-server-leaving', ...server}),
		gone: () => ({kind: 'backend-server-gone', ...server}),
		submit: () => ({
			kind: 'job-submitted',
			job: {
				jobId: `job-${b % 20}`,
				teamId: `team-${b % 2}`,
				workClass: b % 4 === 0 ? 'latency-critical' : 'batch',
				priority: (['urgent', 'normal', 'background'] as const)[c % 3]!,
				tasks: [0, 1].map(index => ({
					taskId: `task-${b % 20}-${index}`, demand: resourcesOfCores(1), declaredRunTimeMs: 1, payload: 'p',
				})),
			},
		}),
		cancel: () => ({kind: 'tasks-cancelled', taskIds: [`task-${b % 20}-${c % 2}`]}),
		claim: () => claimRecord(state, command, false),
		'evicting-claim': () => claimRecord(state, command, true),
		started: () => ({kind: 'task-started', ...attempt}),
		ended: () => ({
			kind: 'task-ended', ...attempt, outcome: (['finished', 'failed', 'refused-not-run', 'cancelled'] as const)[c % 4]!, reason: 'test',
		}),
		checkpointed: () => ({
			kind: 'task-checkpointed', ...attempt, checkpoint: `checkpoint-${state.offset}`, reason: 'test',
		}),
		evict: () => ({
			kind: 'evict-requested', taskId: attempt.taskId, attempt: attempt.attempt, reason: 'test',
		}),
		key: () => ({
			kind: 'key-claimed', ...server, keyHash: `key-${c % 5}`, bodyHash: 'body', service: 'service-0',
		}),
		'expire-keys': () => ({kind: 'keys-expired', throughOffset: state.offset - (c % 40)}),
		quota: () => planRecord(state, {kind: 'set-quota', teamId: `team-${b % 2}`, quota: resourcesOfCores(2 + (c % 8))}),
		service: () => planRecord(state, {
			kind: 'admit-service',
			service: {
				service: `service-${b % 2}`, teamId: 'team-0', latencyTargetMs: 50, demandPerBackendServer: resourcesOfCores(c % 4),
			},
		}),
		drain: () => planRecord(state, c % 2 === 0 ? {kind: 'drain-vm', vmId} : {kind: 'drain-backend-server', backendServerId}),
		return: () => planRecord(state, c % 2 === 0 ? {kind: 'return-vm', vmId} : {kind: 'return-backend-server', backendServerId}),
		'end-entry': () => isFaulty
			? {
				kind: 'entry-ended', entryId: 'entry-2', incarnation: 'writer-2', reason: 'test',
			}
			: {kind: 'entry-alive', appliedOffset: 0},
		duplicate: () => ({kind: 'entry-alive', appliedOffset: 0}),
		evacuation: () => ({
			kind: 'failure-domain-evacuation', failureDomain: `domain-${b % 2}`, isRequested: c % 2 === 0, requestOffset: Math.max(0, state.offset - (isFaulty ? 40 : 0)), noticedAtMs: c,
		}),
		quarantine: () => ({kind: c % 2 === 0 ? 'vm-quarantined' : 'vm-unquarantined', ...agent, reason: 'test'}),
	};
	return recordFactories[command.kind]();
}

/**
Returns a log that three entries write. Records that register the entries and three VMs and submit jobs come first, then at least one record for each command.
Calls `onApplied` after each record.
*/
export function buildLog(
	list: readonly Command[],
	onApplied: (before: ClusterState, logged: LoggedRecord, after: ClusterState) => void = () => undefined,
): readonly LoggedRecord[] {
	const log: LoggedRecord[] = [];
	const sequences = [0, 0, 0];
	let state = emptyClusterState;
	const apply = (envelope: LoggedRecord['envelope']) => {
		// Readers skip values that cannot be decoded, so offsets need not be contiguous: this log leaves one out after 21 records.
		const logged = {offset: log.length + (log.length > 20 ? 1 : 0), envelope};
		const before = state;
		state = applyRecord(state, logged);
		log.push(logged);
		onApplied(before, logged, state);
	};

	const write = (writer: number, record: ClusterRecord) => {
		sequences[writer]! += 1;
		apply({
			writer: `entry-${writer}`, incarnation: `writer-${writer}`, sequence: sequences[writer]!, record,
		});
	};

	for (const writer of [0, 1, 2]) {
		write(writer, {
			kind: 'entry-registered', entryId: `entry-${writer}`, failureDomain: 'domain-0', operatorAddress: '127.0.0.1:7001',
		});
		// The third entry is of a version that does not bound the contact.
		if (writer < 2) {
			write(writer, {kind: 'entry-bounds-contact', withdrawsAfterMs: 1000 * (writer + 1)});
		}
	}

	const start = ['register-vm', 'submit', 'submit'] as const;
	for (const [index, kind] of [...start, ...start, ...start].entries()) {
		write(0, recordOf(state, {
			kind, writer: 0, a: Math.floor(index / 3), b: index, c: index, isFaulty: false,
		}));
	}

	for (const command of list) {
		if (command.kind === 'duplicate') {
			apply(log[command.a % log.length]!.envelope);
		} else if (command.kind === 'revoke') {
			// All entries, or one for a faulty command, first report the VM as unreachable. Otherwise random logs would hardly ever contain a revocation that takes effect.
			for (const writer of command.isFaulty ? [0] : [0, 1, 2]) {
				write(writer, recordOf(state, {...command, kind: 'unreachable', isFaulty: false}));
			}

			write(command.writer, recordOf(state, {...command, isFaulty: false}));
		} else {
			write(command.writer, recordOf(state, command));
		}
	}

	return log;
}

import test from 'ava';
import fc from 'fast-check';
import {
	extendLease, noLease, recordHeartbeatSent, type HeartbeatAnswer, type Lease,
} from '../agent/lease.js';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {applyRecord, emptyClusterState} from '../cluster/reduce-cluster.js';
import {type EntryContext} from '../entry/entry-context.js';
import {type LogEnvelope} from '../log/log-envelope.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {answerHeartbeat} from './lease-grant.js';
import {initialVmLiveness, recordAgentMessage, tickVmLiveness} from './vm-liveness.js';

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'e', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
	timings: {
		heartbeatTimeoutMs: 1000, leaseDurationMs: 6000, logFreshnessMs: 800, leaseMarginMs: 100,
	},
});

const tickMs = 250;
const contactLimitMs = 4000;
const agent = {vmId: 'vm-1', agentIncarnation: 'agent-1'};

/** An entry with its part of the log that is not written yet and its link to the agent, whose messages wait while it is held. */
class Entry {
	cluster = emptyClusterState;
	vmLiveness = initialVmLiveness;
	tailReadAtMs = Number.NEGATIVE_INFINITY;
	isFrozen = false;
	isCutFromLog = false;
	isAppendLate = false;
	isLinkHeld = false;
	readonly unwritten: LogEnvelope[] = [];
	toEntry: bigint[] = [];
	toAgent: HeartbeatAnswer[] = [];
	#sequence = 0;
	#generation = 0;

	constructor(readonly entryId: string) {
		this.register();
	}

	get incarnation(): string {
		return `${this.entryId}-${this.#generation}`;
	}

	append(record: ClusterRecord): void {
		this.#sequence++;
		this.unwritten.push({
			writer: this.entryId, incarnation: this.incarnation, sequence: this.#sequence, record,
		});
	}

	register(): void {
		this.append({
			kind: 'entry-registered', entryId: this.entryId, failureDomain: 'a', operatorAddress: '127.0.0.1:1',
		});
		this.append({kind: 'entry-bounds-contact', withdrawsAfterMs: settings.timings.heartbeatTimeoutMs});
	}

	advance(log: readonly LogEnvelope[], nowMs: number): void {
		if (!this.isCutFromLog) {
			for (const envelope of log.slice(this.cluster.offset + 1)) {
				this.cluster = applyRecord(this.cluster, {offset: this.cluster.offset + 1, envelope});
			}

			this.tailReadAtMs = nowMs;
			if (this.cluster.endedIncarnations.has(this.incarnation)) {
				this.#generation++;
				this.#sequence = 0;
				this.unwritten.length = 0;
				this.register();
			}
		}

		const context: EntryContext = {
			cluster: this.cluster, settings, incarnation: this.incarnation, nowMs, wallTimeMs: nowMs, tailConfirmedSentAtMs: this.tailReadAtMs, pendingAppends: 0, seed: 1,
		};
		for (const sequence of this.isLinkHeld ? [] : this.toEntry.splice(0)) {
			this.vmLiveness = recordAgentMessage(this.vmLiveness, agent.vmId, agent.agentIncarnation, nowMs);
			for (const effect of answerHeartbeat({...agent, sequence}, {context, vmLiveness: this.vmLiveness})) {
				if (effect.kind === 'send-to-agent' && effect.command.case === 'leaseGrant') {
					const {durationMs = 0, inContact} = effect.command.value;
					this.toAgent.push({sequence: Number(sequence), durationMs, inContact});
				}
			}
		}

		const {state, effects} = tickVmLiveness(this.vmLiveness, context);
		this.vmLiveness = state;
		for (const effect of effects) {
			if (effect.kind === 'append-record') {
				this.append(effect.record);
			}
		}
	}
}

/** Runs an agent and three entries against one log. Returns how long before the end of its newest grant the tasks of the agent's VM were freed; undefined when they were not. */
function freedBeforeGrantMs(faults: readonly Fault[]): number | undefined {
	const entries = ['e1', 'e2', 'e3'].map(entryId => new Entry(entryId));
	entries[0]!.append({
		kind: 'vm-registered', ...agent, workerIncarnation: 'w', failureDomain: 'a', rack: 'r', requestAddress: '127.0.0.1:2', capacity: {processorsMilli: 1, memoryMb: 1, accelerators: 0}, runningTasks: [],
	});
	entries[0]!.append({kind: 'vm-bounds-contact', ...agent, limitMs: contactLimitMs});
	const log: LogEnvelope[] = [];
	let reference = emptyClusterState;
	let lease: Lease = noLease;
	let nowMs = 100_000;
	let isAgentFrozen = false;
	const world = {
		entries, log, freezeAgent(isOn: boolean) {
			isAgentFrozen = isOn;
		},
	};
	for (const {act, ticks} of [{act: () => undefined, ticks: 60}, ...faults, {act: () => undefined, ticks: 40}]) {
		act(world);
		for (let tick = 0; tick < ticks; tick++) {
			nowMs += tickMs;
			for (const entry of entries.filter(({isFrozen}) => !isFrozen)) {
				entry.advance(log, nowMs);
				log.push(...entry.isCutFromLog || entry.isAppendLate ? [] : entry.unwritten.splice(0));
			}

			if (!isAgentFrozen) {
				for (const entry of entries) {
					for (const answer of entry.isLinkHeld ? [] : entry.toAgent.splice(0)) {
						lease = extendLease(lease, answer, {nowMs, contactLimitMs});
					}
				}

				lease = recordHeartbeatSent(lease, nowMs, nowMs);
				for (const entry of entries) {
					entry.toEntry.push(BigInt(nowMs));
				}
			}

			for (const envelope of log.slice(reference.offset + 1)) {
				reference = applyRecord(reference, {offset: reference.offset + 1, envelope});
				if (reference.vms.get(agent.vmId)?.phase === 'expired') {
					if (lease.deadlineMs !== undefined && lease.deadlineMs > nowMs) {
						throw new Error(`the tasks are free ${lease.deadlineMs - nowMs} ms before their agent stops them`);
					}

					return (lease.grantedUntilMs ?? 0) - nowMs;
				}
			}
		}
	}

	return undefined;
}

type World = Readonly<{entries: readonly Entry[]; log: LogEnvelope[]; freezeAgent: (isOn: boolean) => void}>;
type Fault = Readonly<{act: (world: World) => void; ticks: number}>;

const switches = ['isFrozen', 'isCutFromLog', 'isAppendLate', 'isLinkHeld', 'isLinkHeld', 'isLinkHeld'] as const;

const faults: fc.Arbitrary<readonly Fault[]> = fc.array(fc.record({
	act: fc.oneof(
		{
			weight: 8, arbitrary: fc.tuple(fc.nat(2), fc.constantFrom(...switches), fc.nat(9)).map(([index, name, off]) => ({entries}: World) => {
				entries[index]![name] = off > 3;
			}),
		},
		{
			weight: 1, arbitrary: fc.tuple(fc.constantFrom(...switches), fc.boolean()).map(([name, isOn]) => ({entries}: World) => {
				for (const entry of entries) {
					entry[name] = isOn;
				}
			}),
		},
		{
			weight: 2, arbitrary: fc.tuple(fc.nat(2), fc.nat(2)).map(([by, ended]) => ({entries}: World) => {
				const {entryId, incarnation} = entries[ended]!;
				if (by !== ended && !entries[by]!.isCutFromLog) {
					entries[by]!.append({
						kind: 'entry-ended', entryId, incarnation, reason: '',
					});
				}
			}),
		},
		{
			weight: 1, arbitrary: fc.boolean().map(isOn => ({freezeAgent}: World) => {
				freezeAgent(isOn);
			}),
		},
		{
			weight: 1, arbitrary: fc.nat(2).map(index => ({entries}: World) => {
				// The connection breaks, and what was on its way is lost.
				entries[index]!.toEntry = [];
				entries[index]!.toAgent = [];
			}),
		},
	),
	ticks: fc.integer({min: 1, max: 12}),
}), {minLength: 5, maxLength: 30});

test('whatever is paused, cut off or declared ended, the tasks of a VM are not free while its agent may let them run', t => {
	const before: number[] = [];
	t.notThrows(() => {
		fc.assert(fc.property(faults, list => {
			const freedMs = freedBeforeGrantMs(list);
			if (freedMs !== undefined) {
				before.push(freedMs);
			}
		}), {numRuns: 3000, includeErrorInReport: true});
	});
	const sooner = before.filter(ms => ms > 0).length;
	t.log({freed: before.length, sooner});
	t.true(sooner > 0, 'some are free before the newest grant has expired');
});

test('an entry whose withdrawal is written late does not extend the lease meanwhile, since the others count from before it', t => {
	const set = (index: number, name: typeof switches[number], isOn: boolean) => ({entries}: World) => {
		entries[index]![name] = isOn;
	};

	const freedMs = freedBeforeGrantMs([
		{act: set(1, 'isLinkHeld', true), ticks: 1},
		{act: set(2, 'isLinkHeld', true), ticks: 12},
		{act: set(0, 'isAppendLate', true), ticks: 1},
		{act: set(0, 'isLinkHeld', true), ticks: 6},
		{act: set(0, 'isLinkHeld', false), ticks: 6},
		{
			act(world) {
				set(0, 'isLinkHeld', true)(world);
				set(0, 'isAppendLate', false)(world);
			},
			ticks: 1,
		},
		{act: set(0, 'isFrozen', true), ticks: 1},
	]);
	t.true(freedMs !== undefined);
});

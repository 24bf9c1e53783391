import {type BackendServer, type ClusterState, type Vm} from './cluster-state.js';
import {isEvacuated} from './evacuations.js';
import {type IntentByKind} from './intent-by-kind.js';
import {type Intent} from './intent.js';
import {
	addResources, noResources, subtractResources, type Resources,
} from './resources.js';
import {hasLiveAttempt} from './task-transitions.js';
import {taskIdsOf} from './workflow-progress.js';

type Summary<Kind extends Intent['kind']> = (state: ClusterState, intent: IntentByKind[Kind]) => readonly string[];

function formatResources({processorsMilli, memoryMb, accelerators}: Resources): string {
	return `${processorsMilli / 1000} cores, ${memoryMb} MB and ${accelerators} accelerators`;
}

const acceptsWork = (state: ClusterState, vm: Vm) => vm.phase === 'live' && !vm.draining && !vm.quarantined && !isEvacuated(state, vm.failureDomain);

/** Returns the line with the free resources of the VMs that accept work, without those for which `isDrained` holds. */
function headroomLine(state: ClusterState, isDrained: (vm: Vm) => boolean): string {
	let headroom = noResources;
	let vmCount = 0;
	for (const vm of state.vms.values()) {
		if (acceptsWork(state, vm) && !isDrained(vm)) {
			vmCount++;
			headroom = addResources(headroom, subtractResources(vm.capacity, vm.committed));
		}
	}

	return `headroom left: ${formatResources(headroom)} free on ${vmCount} VMs`;
}

/** Returns lines with the remaining backend servers and slots of each service that loses backend servers. */
function serviceLines(state: ClusterState, isDrained: (server: BackendServer) => boolean): readonly string[] {
	const totals = new Map<string, {servers: number; slots: number; remainingServers: number; remainingSlots: number}>();
	for (const server of state.backendServers.values()) {
		if (server.phase !== 'serving' || server.draining) {
			continue;
		}

		const total = totals.get(server.service) ?? {
			servers: 0, slots: 0, remainingServers: 0, remainingSlots: 0,
		};
		total.servers++;
		total.slots += server.slots;
		if (!isDrained(server)) {
			total.remainingServers++;
			total.remainingSlots += server.slots;
		}

		totals.set(server.service, total);
	}

	return [...totals]
		.filter(([, total]) => total.remainingServers < total.servers)
		.toSorted(([a], [b]) => a < b ? -1 : 1)
		.flatMap(([service, {servers, slots, remainingServers, remainingSlots}]) => [
			`service ${service} keeps ${remainingServers} of ${servers} backend servers and ${remainingSlots} of ${slots} slots`,
			...(remainingServers === 0 ? [`warning: service ${service} is left without a serving backend server`] : []),
		]);
}

function drainLines(state: ClusterState, subject: string, isDrained: (vm: Vm) => boolean): readonly string[] {
	let batchTasks = 0;
	let latencyCriticalTasks = 0;
	let vmCount = 0;
	for (const vm of state.vms.values()) {
		if (!isDrained(vm)) {
			continue;
		}

		vmCount++;
		for (const taskId of vm.taskIds) {
			const isBatch = state.tasks.get(taskId)?.workClass === 'batch';
			batchTasks += isBatch ? 1 : 0;
			latencyCriticalTasks += isBatch ? 0 : 1;
		}
	}

	return [
		`${subject} (${vmCount} VMs) takes no new work from the confirmation on`,
		`evictions: ${batchTasks} batch tasks checkpoint, stop and resume elsewhere; ${latencyCriticalTasks} latency-critical tasks stop and start elsewhere`,
		...serviceLines(state, server => {
			const vm = state.vms.get(server.vmId);
			return vm !== undefined && isDrained(vm);
		}),
		headroomLine(state, isDrained),
		'why: its backend servers finish their requests in flight before they stop',
	];
}

function returnLines(state: ClusterState, subject: string, isReturned: (vm: Vm) => boolean): readonly string[] {
	let freeResources = noResources;
	for (const vm of state.vms.values()) {
		if (vm.phase === 'live' && isReturned(vm)) {
			freeResources = addResources(freeResources, subtractResources(vm.capacity, vm.committed));
		}
	}

	return [
		`${subject} takes work again and adds ${formatResources(freeResources)} of free room`,
		'evictions: none',
		headroomLine(state, () => false),
	];
}

function shareLine(shares: Readonly<Record<string, number>>): string {
	let total = 0;
	for (const share of Object.values(shares)) {
		total += share;
	}

	return Object.entries(shares).map(([name, share]) => `${name} ${Math.round(share * 100 / Math.max(1, total))}%`).join(', ');
}

const summaries: {readonly [Kind in Intent['kind']]: Summary<Kind>} = {
	'admit-service'(state, {service}) {
		const former = state.configuration.services.get(service.service);
		return [
			`service ${service.service} of team ${service.teamId} is ${former ? 'changed' : 'admitted'} with a latency target of ${service.latencyTargetMs} ms`,
			`each backend server commits ${formatResources(service.demandPerBackendServer)} on its VM`,
			'evictions: batch tasks make room where a backend server finds none',
			headroomLine(state, () => false),
		];
	},
	'remove-service': (state, {service}) => [
		`service ${service} is removed; requests for it are refused`,
		'evictions: none',
		headroomLine(state, () => false),
	],
	'submit-job'(state, {job}) {
		let demand = noResources;
		for (const task of job.tasks) {
			demand = addResources(demand, task.demand);
		}

		const quota = state.configuration.quotas.get(job.teamId);
		const committed = state.committedByTeam.get(job.teamId) ?? noResources;
		return [
			`job ${job.jobId} of team ${job.teamId} queues ${job.tasks.length} ${job.workClass} tasks as ${job.priority}, ${formatResources(demand)} in all`,
			quota
				? `team ${job.teamId} has ${formatResources(committed)} of its quota of ${formatResources(quota)} committed`
				: `team ${job.teamId} has no quota and ${formatResources(committed)} committed`,
			job.priority === 'urgent' || job.workClass === 'latency-critical'
				? 'evictions: less urgent batch tasks make room where a task finds none'
				: 'evictions: none',
			headroomLine(state, () => false),
		];
	},
	'cancel-job'(state, {jobId}) {
		let queued = 0;
		let live = 0;
		for (const taskId of taskIdsOf(state, jobId)) {
			const task = state.tasks.get(taskId);
			queued += task?.phase === 'queued' ? 1 : 0;
			live += task && hasLiveAttempt(task) ? 1 : 0;
		}

		return [`job ${jobId}: ${queued} queued tasks end at once, ${live} running tasks are stopped without a checkpoint`];
	},
	'drain-backend-server': (state, {backendServerId}) => [
		`backend server ${backendServerId} takes no new requests from the confirmation on; requests in flight finish`,
		'evictions: none',
		...serviceLines(state, server => server.backendServerId === backendServerId),
		'why: its share of the requests moves to the other backend servers of the service',
	],
	'return-backend-server': (_, {backendServerId}) => [`backend server ${backendServerId} takes requests again`, 'evictions: none'],
	'drain-vm': (state, {vmId}) => drainLines(state, `VM ${vmId}`, vm => vm.vmId === vmId),
	'return-vm': (state, {vmId}) => returnLines(state, `VM ${vmId}`, vm => vm.vmId === vmId),
	'drain-failure-domain': (state, {failureDomain}) =>
		drainLines(state, `failure domain ${failureDomain}`, vm => vm.failureDomain === failureDomain),
	'return-failure-domain': (state, {failureDomain}) =>
		returnLines(state, `failure domain ${failureDomain}`, vm => vm.failureDomain === failureDomain),
	'set-request-limits': (state, {limits}) => [
		`shares of requests become ${shareLine(limits.shareByClass)}, from ${shareLine(state.configuration.requestLimits.shareByClass)}`,
		`at most ${limits.queuedRequestsPerService} requests wait for a service, each for ${limits.queueTimeoutMs} ms`,
		`retries are at most ${limits.retryBudgetMilli / 10}% of requests`,
	],
	'set-quota'(state, {teamId, quota}) {
		const former = state.configuration.quotas.get(teamId);
		return [
			`quota of team ${teamId} becomes ${formatResources(quota)}, from ${former ? formatResources(former) : 'none'}`,
			`${formatResources(state.committedByTeam.get(teamId) ?? noResources)} are committed now`,
			'evictions: none; a quota below what is committed only stops further placements',
		];
	},
	'set-weights': (state, {weights}) => [
		`weights become ${shareLine(weights)}, from ${shareLine(state.configuration.weights)}`,
		'evictions: none; later placements and guards use the new weights',
	],
};

function dispatch<Kind extends Intent['kind']>(kind: Kind, state: ClusterState, intent: IntentByKind[Kind]): readonly string[] {
	return summaries[kind](state, intent);
}

/**
Describes to the operator what an intent would do: what moves and is evicted, which free resources and shares remain, and why.

@example
summarizePlan(state, {kind: 'return-backend-server', backendServerId: 'b3'});
// => ['backend server b3 takes requests again', 'evictions: none']
*/
export function summarizePlan(state: ClusterState, intent: Intent): readonly string[] {
	return dispatch(intent.kind, state, intent);
}

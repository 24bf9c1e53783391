import {err, ok, type Result} from 'true-myth/result';
import {type TypedError} from '../errors/typed-error.js';
import {type ClusterState} from './cluster-state.js';
import {type IntentByKind} from './intent-by-kind.js';
import {type Intent} from './intent.js';

export type IntentErrorKind
	= | 'unknown-service' | 'service-in-use' | 'job-exists' | 'job-cancelled' | 'task-exists' | 'unknown-job' | 'job-finished'
		| 'unknown-backend-server' | 'unknown-vm' | 'unknown-failure-domain' | 'already-draining' | 'not-draining';

export type IntentError = TypedError<IntentErrorKind>;

type IntentCheck<Kind extends Intent['kind']> = (state: ClusterState, intent: IntentByKind[Kind]) => IntentError | undefined;

const notDraining = (subject: string): IntentError => ({
	kind: 'not-draining', message: `${subject} is not being drained`, remedy: 'run `arbutushinge status` to see what is being drained',
});

const alreadyDraining = (subject: string): IntentError => ({
	kind: 'already-draining', message: `${subject} is already being drained`, remedy: 'follow it with `arbutushinge status`, or return it first',
});

const checks: {readonly [Kind in Intent['kind']]: IntentCheck<Kind>} = {
	'admit-service': () => undefined,
	'remove-service'(state, {service}) {
		if (!state.configuration.services.has(service)) {
			return {kind: 'unknown-service', message: `service ${service} is not admitted`, remedy: 'run `arbutushinge status` for the admitted services'};
		}

		let serving = 0;
		for (const server of state.backendServers.values()) {
			serving += server.service === service && server.phase === 'serving' && !server.draining ? 1 : 0;
		}

		return serving === 0
			? undefined
			: {
				kind: 'service-in-use',
				message: `service ${service} still has ${serving} serving backend servers`,
				remedy: 'drain its backend servers first',
			};
	},
	'submit-job'(state, {job}) {
		if (state.jobs.has(job.jobId)) {
			return {kind: 'job-exists', message: `job ${job.jobId} was already submitted`, remedy: 'choose another jobId, or follow the job with `arbutushinge status`'};
		}

		if (state.earlyCancellations.has(job.jobId)) {
			return {kind: 'job-cancelled', message: `job ${job.jobId} was cancelled before it was submitted`, remedy: 'choose another jobId'};
		}

		const seen = new Set<string>();
		for (const {taskId} of job.tasks) {
			if (seen.has(taskId) || state.tasks.has(taskId)) {
				return {kind: 'task-exists', message: `task ${taskId} exists already`, remedy: 'give each task a taskId of its own, such as jobId and a number'};
			}

			seen.add(taskId);
		}

		return undefined;
	},
	'cancel-job'(state, {jobId}) {
		if (!state.jobs.has(jobId)) {
			return {kind: 'unknown-job', message: `job ${jobId} is unknown or was forgotten after it finished`, remedy: 'run `arbutushinge status` for the jobs'};
		}

		return state.unfinishedTasksByJob.has(jobId)
			? undefined
			: {kind: 'job-finished', message: `job ${jobId} has finished`, remedy: 'nothing is left to cancel'};
	},
	'drain-backend-server'(state, {backendServerId}) {
		const server = state.backendServers.get(backendServerId);
		if (!server || server.phase === 'gone') {
			return {
				kind: 'unknown-backend-server',
				message: `backend server ${backendServerId} is ${server ? 'gone' : 'unknown'}`,
				remedy: 'run `arbutushinge status` for the backend servers',
			};
		}

		return state.configuration.drainingBackendServerIds.has(backendServerId) ? alreadyDraining(`backend server ${backendServerId}`) : undefined;
	},
	'return-backend-server': (state, {backendServerId}) =>
		state.configuration.drainingBackendServerIds.has(backendServerId) ? undefined : notDraining(`backend server ${backendServerId}`),
	'drain-vm'(state, {vmId}) {
		if (!state.vms.has(vmId)) {
			return {kind: 'unknown-vm', message: `VM ${vmId} is unknown`, remedy: 'run `arbutushinge status` for the VMs'};
		}

		return state.configuration.drainingVmIds.has(vmId) ? alreadyDraining(`VM ${vmId}`) : undefined;
	},
	'return-vm': (state, {vmId}) => state.configuration.drainingVmIds.has(vmId) ? undefined : notDraining(`VM ${vmId}`),
	'drain-failure-domain'(state, {failureDomain}) {
		if (!state.vms.some(vm => vm.failureDomain === failureDomain)) {
			return {
				kind: 'unknown-failure-domain',
				message: `no VM is in failure domain ${failureDomain}`,
				remedy: 'run `arbutushinge status` for the failure domains',
			};
		}

		return state.configuration.drainingFailureDomains.has(failureDomain) ? alreadyDraining(`failure domain ${failureDomain}`) : undefined;
	},
	'return-failure-domain': (state, {failureDomain}) =>
		state.configuration.drainingFailureDomains.has(failureDomain) ? undefined : notDraining(`failure domain ${failureDomain}`),
	'set-request-limits': () => undefined,
	'set-quota': () => undefined,
	'set-weights': () => undefined,
};

function dispatch<Kind extends Intent['kind']>(kind: Kind, state: ClusterState, intent: IntentByKind[Kind]): IntentError | undefined {
	return checks[kind](state, intent);
}

/**
Checks whether the entities that an intent names exist and can change as requested. The error says what is wrong and how to proceed.

@example
checkIntent(state, {kind: 'drain-vm', vmId: 'vm-9'});
// => Err({kind: 'unknown-vm', message: 'VM vm-9 is unknown', remedy: 'run `arbutushinge status` for the VMs'})
*/
export function checkIntent(state: ClusterState, intent: Intent): Result<Intent, IntentError> {
	const error = dispatch(intent.kind, state, intent);
	return error ? err(error) : ok(intent);
}

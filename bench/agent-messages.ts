import {create} from '@bufbuild/protobuf';
import {
	BackendServerPhase, type Heartbeat, HeartbeatSchema, type Hello, HelloSchema,
} from '../src/generated/arbutushinge/v1/agent_pb.js';
import {incarnationOfVm, type FleetSize, vmRecord} from './fleet.js';

/** Heartbeats between two usage reports: agents report usage every 5 s. */
export const heartbeatsPerUsageReport = 5;

/**
Creates the first message of a synthetic agent, whose worker runs the given tasks.

@example
helloOf(3, size, ['batch-1-0']).vmId; // => 'vm-3'
*/
export function helloOf(index: number, size: FleetSize, taskIds: Iterable<string>): Hello {
	const {vmId, failureDomain, rack, requestAddress, capacity} = vmRecord(index, size);
	return create(HelloSchema, {
		vmId,
		agentIncarnation: incarnationOfVm(vmId),
		failureDomain,
		rack,
		requestAddress,
		capacity,
		runningTasks: [...taskIds].map(taskId => ({taskId, attempt: 1, limit: {processorsMilli: 500, memoryMb: 1024, accelerators: 0}})),
	});
}

/**
Creates a heartbeat as large as that of a real agent: with one backend server whose load changed, and in every fifth
heartbeat with the usage of every task.

@example
heartbeatOf({index: 3, sequence: 5, configurationOffset: 17, taskIds: ['batch-1-0']});
*/
export function heartbeatOf({index, sequence, configurationOffset, taskIds}: Readonly<{
	index: number;
	sequence: number;
	configurationOffset: number;
	taskIds: Iterable<string>;
}>): Heartbeat {
	return create(HeartbeatSchema, {
		sequence: BigInt(sequence),
		appliedConfigurationOffset: BigInt(Math.max(0, configurationOffset)),
		backendServers: [{
			backendServerId: `server-${index}`,
			service: `service-${index % 50}`,
			phase: BackendServerPhase.SERVING,
			slots: 8,
			connections: 64,
			activeRequests: sequence % 8,
			queuedRequests: 0,
			latencyP99Ms: 100 + (sequence % 50),
		}],
		usage: (sequence + index) % heartbeatsPerUsageReport === 0
			? {
				measuredAgeMs: 2000,
				processorsUsedMilli: 10_000,
				memoryUsedMb: 30_000,
				tasks: [...taskIds].map(taskId => ({
					taskId, processorsUsedMilli: 400, memoryUsedMb: 900, relativeSpeedMilli: 950,
				})),
			}
			: undefined,
	});
}

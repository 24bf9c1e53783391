import {type Map} from 'immutable';
import {type ClusterState, type Vm} from '../cluster/cluster-state.js';
import {type BackendServerReport, type Hello, type TaskEvent} from '../generated/arbutushinge/v1/agent_pb.js';

/** The parts of the cluster state that an agent's configuration depends on. */
export type ConfigurationSource = Readonly<{
	configuration: ClusterState['configuration'];
	backendServers: ClusterState['backendServers'];
	backendServerIds: Vm['backendServerIds'];
	vmDraining: boolean;
	vmEvacuated: boolean;
}>;

/** State of one agent's stream at this entry; removed when the stream closes. */
export type AgentLink = Readonly<{
	vmId: string;
	sessionId: string;
	agentIncarnation: string;
	hello: Hello;
	/** When the hello arrived, on this entry's monotonic clock. */
	helloReceivedAtMs: number;
	/** Whether the tasks in the hello were compared with the claims. */
	isHelloChecked: boolean;
	/** Sequence of the incarnation's newest heartbeat, which a lease grant echoes; missing before the first. */
	heartbeatSequence: bigint | undefined;
	appliedConfigurationOffset: number;
	/** Encoded configuration that was sent last on this stream; empty before the first. */
	sentConfiguration: string;
	/** Inputs of `sentConfiguration`; while they are unchanged, so is the configuration. */
	configuredFrom: ConfigurationSource | undefined;
	/** Newest report of each backend server of the VM. */
	backendServers: Map<string, BackendServerReport>;
	/** When each command was last sent on this stream. */
	sentCommands: Map<string, number>;
	/** Task events that are not in the log yet. */
	pendingTaskEvents: Map<bigint, Readonly<{event: TaskEvent; receivedAtMs: number; appendedAtMs: number}>>;
	leaving: boolean;
	/** The worker announced that it is leaving. */
	workerLeaving: boolean;
}>;

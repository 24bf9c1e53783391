import {type Map} from 'immutable';
import {type ClusterState, type Vm} from '../cluster/cluster-state.js';
import {type BackendServerReport, type Hello, type TaskEvent} from '../generated/arbutushinge/v1/agent_pb.js';

/** The parts of the cluster state that an agent's configuration depends on. */
export type ConfigurationSource = Readonly<{
	configuration: ClusterState['configuration'];
	backendServers: ClusterState['backendServers'];
	backendServerIds: Vm['backendServerIds'];
	vmDraining: boolean;
}>;

/** What an entry knows of one agent through its stream; lost with the stream. */
export type AgentLink = Readonly<{
	vmId: string;
	sessionId: string;
	agentIncarnation: string;
	hello: Hello;
	/** Whether the tasks that the hello lists were compared with the claims. */
	isHelloChecked: boolean;
	/** The newest heartbeat of the incarnation, which a grant echoes; missing before the first. */
	heartbeatSequence: bigint | undefined;
	appliedConfigurationOffset: number;
	/** Digest of the configuration that was sent last on this stream. */
	sentConfiguration: string;
	/** What that digest was computed from; while it is unchanged, so is the digest. */
	configuredFrom: ConfigurationSource | undefined;
	/** Newest report of each backend server of the VM. */
	backendServers: Map<string, BackendServerReport>;
	/** When each command was last sent on this stream. */
	sentCommands: Map<string, number>;
	/** Task events that are not in the log yet. */
	pendingTaskEvents: Map<bigint, Readonly<{event: TaskEvent; receivedAtMs: number; appendedAtMs: number}>>;
	leaving: boolean;
	/** The worker announced that it leaves. */
	workerLeaving: boolean;
}>;

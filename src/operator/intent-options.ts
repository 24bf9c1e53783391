import {type Intent} from '../cluster/intent.js';

/** One option of `plan` that states an intent by itself. */
export type IntentOption = Readonly<{
	/** Name on the command line, without the dashes. */
	option: string;
	value: string;
	description: string;
	toIntent: (value: string) => Intent;
}>;

/** The usual intents; any other one is read from a file. */
export const intentOptions: readonly IntentOption[] = [
	{
		option: 'drain-vm', value: 'ID', description: 'Move work off a VM', toIntent: vmId => ({kind: 'drain-vm', vmId}),
	},
	{
		option: 'return-vm', value: 'ID', description: 'Give a drained VM work again', toIntent: vmId => ({kind: 'return-vm', vmId}),
	},
	{
		option: 'drain-backend-server', value: 'ID', description: 'Give a backend server no new work', toIntent: backendServerId => ({kind: 'drain-backend-server', backendServerId}),
	},
	{
		option: 'return-backend-server', value: 'ID', description: 'Give a drained backend server work again', toIntent: backendServerId => ({kind: 'return-backend-server', backendServerId}),
	},
	{
		option: 'drain-failure-domain', value: 'NAME', description: 'Move work off a failure domain', toIntent: failureDomain => ({kind: 'drain-failure-domain', failureDomain}),
	},
	{
		option: 'return-failure-domain', value: 'NAME', description: 'Give a drained failure domain work again', toIntent: failureDomain => ({kind: 'return-failure-domain', failureDomain}),
	},
	{
		option: 'remove-service', value: 'NAME', description: 'Remove a service', toIntent: service => ({kind: 'remove-service', service}),
	},
	{
		option: 'cancel-job', value: 'ID', description: 'Cancel all tasks of a job', toIntent: jobId => ({kind: 'cancel-job', jobId}),
	},
];

import {z} from 'zod';
import {
	nameSchema, requestLimitsSchema, serviceSchema, weightsSchema,
} from '../cluster/intent.js';
import {resourcesSchema} from '../cluster/resources-schema.js';

/** Settings of a whole deployment, from which its entries, agents and first plans are set up. */
export const deploymentSettingsSchema = z.strictObject({
	role: z.literal('deployment').describe('Role that this file is for'),
	deployment: nameSchema.describe('Name of the deployment'),
	failureDomains: z.array(nameSchema).min(1).readonly().describe('Failure domains; workers are spread over them in turn'),
	delays: z.strictObject({
		betweenFailureDomainsMs: z.number().min(0).describe('One-way delay between two failure domains'),
		toClientsMs: z.number().min(0).describe('One-way delay to clients'),
	}).readonly().describe('One-way delays'),
	workers: z.strictObject({
		count: z.int().min(1).describe('Workers of the deployment'),
		perRack: z.int().min(1).describe('Workers in one rack'),
		capacity: resourcesSchema.describe('What each worker offers'),
		guardsEnabled: z.boolean().describe('Whether batch tasks are throttled and evicted for services'),
	}).readonly().describe('Workers, one to a VM'),
	service: serviceSchema.describe('The service that the deployment admits'),
	backendServers: z.strictObject({
		count: z.int().min(1).describe('Backend servers of the service, one to a worker'),
		slots: z.int().min(1).describe('Requests that one backend server runs at once'),
		connections: z.int().min(1).describe('Connections that one backend server accepts'),
	}).readonly().describe('Backend servers of the service'),
	requestLimits: requestLimitsSchema.describe('Limits on callers\' requests'),
	weights: weightsSchema.describe('How much each measure counts, in thousandths'),
}).readonly();

export type DeploymentSettings = z.infer<typeof deploymentSettingsSchema>;

import * as z from 'zod/mini';
import {addressSchema, listenAddressSchema} from '../validation/address-schema.js';

/** Addresses of the users' platform that an agent needs. */
export const agentPlatformSettingsSchema = z.readonly(z.strictObject({
	storeAddress: addressSchema.check(z.describe('Address of the platform\'s store, which lists the entries')),
	seedAddresses: z.readonly(z.array(addressSchema)).check(z.describe('Addresses of VMs that run an entry, as the platform last knew them')),
	entryAgentPort: z.int().check(z.minimum(1), z.maximum(65_535), z.describe('Port of every entry for agents\' streams')),
	controlAddress: listenAddressSchema.check(z.describe('Where the worker announces itself to the agent')),
	workerAddress: addressSchema.check(z.describe('Where the worker takes orders')),
	service: z.string().check(z.minLength(1), z.describe('Service that the worker belongs to')),
}));

export type AgentPlatformSettings = z.infer<typeof agentPlatformSettingsSchema>;

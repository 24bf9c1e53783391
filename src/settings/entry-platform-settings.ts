import {z} from 'zod';
import {addressSchema, listenAddressSchema} from '../validation/address-schema.js';

/** Accepts an empty string too, since templates of settings files write it for an address that the platform does not define. */
const optionalAddressSchema = z.union([addressSchema, z.literal('')]).default('');

/** Addresses of the users' platform that an entry needs. */
export const entryPlatformSettingsSchema = z.strictObject({
	storeAddress: addressSchema.check(z.describe('Address of the platform\'s store')),
	queueAddress: listenAddressSchema.check(z.describe('Where callers hand in jobs')),
	readinessAddress: listenAddressSchema.check(z.describe('Where the balancer asks whether the entry is ready')),
	adviceAddress: optionalAddressSchema.describe('Service that says which VMs may run a step; empty where there is none'),
	machinesAddress: optionalAddressSchema.describe('Service that lists machines and takes orders for their upkeep; empty where there is none'),
}).readonly();

export type EntryPlatformSettings = z.infer<typeof entryPlatformSettingsSchema>;

import {z} from 'zod';

const addressSchema = z.string().regex(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v, 'use an IP number and a port, such as 127.0.0.1:8080');

/** Accepts an empty string too, since templates of settings files write it for an address that the platform does not define. */
const optionalAddressSchema = z.union([addressSchema, z.literal('')]).default('');

/** Addresses of the users' platform that an entry needs. */
export const entryPlatformSettingsSchema = z.strictObject({
	storeAddress: addressSchema.describe('Address of the platform\'s store'),
	queueAddress: addressSchema.describe('Where callers hand in jobs'),
	readinessAddress: addressSchema.describe('Where the balancer asks whether the entry is ready'),
	adviceAddress: optionalAddressSchema.describe('Service that says which VMs may run a step; empty where there is none'),
	machinesAddress: optionalAddressSchema.describe('Service that lists machines and takes orders for their upkeep; empty where there is none'),
}).readonly();

export type EntryPlatformSettings = z.infer<typeof entryPlatformSettingsSchema>;

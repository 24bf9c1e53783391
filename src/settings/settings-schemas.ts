import {type $ZodType} from 'zod/v4/core';

/** Loads the schema of each kind of settings file on demand, so that an agent does not load the entry's. */
export const settingsSchemas = {
	async entry() {
		const {entrySettingsSchema} = await import('./entry-settings.js');
		return entrySettingsSchema;
	},
	async agent() {
		const {agentSettingsSchema} = await import('./agent-settings.js');
		return agentSettingsSchema;
	},
	async deployment() {
		const {deploymentSettingsSchema} = await import('./deployment-settings.js');
		return deploymentSettingsSchema;
	},
} as const satisfies Readonly<Record<string, () => Promise<$ZodType>>>;

export type SettingsRole = keyof typeof settingsSchemas;

/**
Returns whether a value of `role` in a settings file has a schema.

@example
isSettingsRole('agent');
// => true
*/
export function isSettingsRole(role: unknown): role is SettingsRole {
	return typeof role === 'string' && Object.hasOwn(settingsSchemas, role);
}

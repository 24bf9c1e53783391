import {type Result} from 'true-myth/result';
import {z} from 'zod';
import {
	intentSchema, planSchema, type Intent, type Plan,
} from '../cluster/intent.js';
import {loadSettings, type SettingsError} from '../settings/load-settings.js';

const planFileSchema = z.strictObject({plan: planSchema});

/**
Reads an intent from a YAML or JSON file.

@example
const intent = await readIntent('drain.yaml');
*/
export async function readIntent(file: string): Promise<Result<Intent, SettingsError>> {
	return loadSettings(file, intentSchema);
}

/**
Reads a plan from a file that `plan --json` or `plan --output` wrote.

@example
const plan = await readPlan('plan.json');
*/
export async function readPlan(file: string): Promise<Result<Plan, SettingsError>> {
	const content = await loadSettings(file, planFileSchema, MAXIMUM_PLAN_FILE_BYTES);
	return content.map(({plan}) => plan);
}

/** A plan carries a whole job of up to 1,000 tasks with 4 KB each. */
const MAXIMUM_PLAN_FILE_BYTES = 8_388_608;

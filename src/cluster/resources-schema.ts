import {z} from 'zod';
import {resourceAmountSchema} from '../validation/bounds-schema.js';
import {type Resources} from './resources.js';

/** Schema of {@link Resources}, in its own module so that an agent does not load zod. */
export const resourcesSchema = z.strictObject({
	processorsMilli: resourceAmountSchema,
	memoryMb: resourceAmountSchema,
	accelerators: resourceAmountSchema,
}).readonly() satisfies z.ZodType<Resources>;

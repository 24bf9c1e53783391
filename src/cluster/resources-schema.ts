import {z} from 'zod';
import {type Resources} from './resources.js';

/** Schema of {@link Resources}, in its own module so that an agent does not load zod. */
export const resourcesSchema = z.strictObject({
	processorsMilli: z.int().min(0),
	memoryMb: z.int().min(0),
	accelerators: z.int().min(0),
}).readonly() satisfies z.ZodType<Resources>;

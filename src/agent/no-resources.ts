import type {Resources} from '../cluster/resources.js';

/** Zero resources; defined apart from the schema of resources, so that the agent does not load zod. */
export const noResources: Resources = {processorsMilli: 0, memoryMb: 0, accelerators: 0};

import process from 'node:process';
import fc from 'fast-check';

/** The seed of every property; `PROPERTY_SEED` selects another one. */
const seed = Number(process.env.PROPERTY_SEED ?? 20_261_204);

/** Runs of every property; `PROPERTY_RUNS` raises it for a long search. */
const numberOfRuns = Number(process.env.PROPERTY_RUNS ?? 100);

fc.configureGlobal({seed, numRuns: numberOfRuns});

import process from 'node:process';
import fc from 'fast-check';

/** Seed of all property tests; `PROPERTY_SEED` overrides it. */
const seed = Number(process.env.PROPERTY_SEED ?? 20_261_204);

/** Runs of each property; `PROPERTY_RUNS` overrides it, for instance for a longer search. */
const numberOfRuns = Number(process.env.PROPERTY_RUNS ?? 100);

fc.configureGlobal({seed, numRuns: numberOfRuns});

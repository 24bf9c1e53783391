import common from './ava.config.js';

/** Tests with hostile clients. They run one at a time, since their crowds take up the machine. */
const ava = {...common, files: ['soak/hostile-*.test.ts'], concurrency: 1};

export default ava;

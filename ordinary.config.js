import common from './ava.config.js';

/** Tests that may run beside each other. */
const ava = {...common, files: [...common.files, '!soak/hostile-*.test.ts']};

export default ava;

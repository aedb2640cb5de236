export * from './routing/index.js';
export * from './organisations/index.js';
export * from './shares/index.js';
export * from './membership/index.js';
export * from './admission/index.js';
export * from './balancing/index.js';
export * from './retries/index.js';

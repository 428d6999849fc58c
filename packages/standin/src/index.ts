export * from './endpoint/index.js';

export * from './gossip/index.js';

/**
 * Messages and services that proxies, callers and endpoints exchange, generated from `proto/`.
 */
export * from './gen/dogwoodthread/v1/common_pb.js';
export * from './gen/dogwoodthread/v1/caller_pb.js';
export * from './gen/dogwoodthread/v1/peer_pb.js';
export * from './gen/dogwoodthread/v1/endpoint_pb.js';
export * from './gen/dogwoodthread/v1/gossip_pb.js';

/** UDP transport for gossip datagrams. */
export {UdpDatagramTransport} from './udp-datagram-transport.js';

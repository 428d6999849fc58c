/** Transport of gossip datagrams. */
export {UdpDatagramTransport} from './udp-datagram-transport.js';

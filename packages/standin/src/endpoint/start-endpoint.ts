import {createServer as createHttp2Server} from 'node:http2';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {SystemTimerService} from '@dogwoodthread/coordination';
import {type Logger, pino} from 'pino';
import {ReplicationPuller} from './core/replication-puller.js';
import {ReplicationSource} from './core/replication-source.js';
import {type RunningEndpoint} from './definitions.js';
import {createControlServer} from './infra/control-http.js';
import {endpointRoutes} from './infra/endpoint-service.js';
import {listenGated} from './infra/gated-listener.js';
import {Instance} from './infra/instance.js';
import {createReplicationServer, HttpReplicationTransport} from './infra/replication-http.js';
import {endpointSettings, type EndpointSettingsInput} from './settings.js';

/** Parts of the replication timeout: a primary without new entries answers this often within it. */
const answersPerTimeout = 4;
/** A lost contact is noticed within this part of the replication timeout. */
const contactChecksPerTimeout = 10;

/**
 * Starts an instance in this process, without log lines unless given a logger. Throws a ZodError for
 * bad settings, or the error of a port that is taken.
 */
export const startEndpoint = async (input: EndpointSettingsInput, log: Logger = pino({enabled: false})): Promise<RunningEndpoint> => {
	const settings = endpointSettings.parse(input);
	const timers = new SystemTimerService();
	const instance = new Instance(settings, timers, log);
	const {faults, member} = instance;
	const {database, memberId, host, replicationTimeoutMs} = settings;
	const transport = new HttpReplicationTransport(replicationTimeoutMs * 2);
	const puller = new ReplicationPuller({
		database, memberId, member, faults, timers, transport,
	});
	const source = new ReplicationSource({
		database, member, timers, waitMs: replicationTimeoutMs / answersPerTimeout,
	});
	timers.every(replicationTimeoutMs / contactChecksPerTimeout, () => {
		member.noteContact();
	});

	const endpoint = await listenGated({
		host,
		port: settings.endpointPort,
		faults,
		refuses: () => faults.values.refuseConnections,
		consumer: createHttp2Server(connectNodeAdapter({routes: endpointRoutes(instance), acceptCompression: []})),
	});
	const replication = await listenGated({
		host,
		port: settings.replicationPort,
		faults,
		refuses: () => faults.values.cutFromGroup,
		consumer: createReplicationServer(source, faults),
	});
	const control = await listenControl(instance);
	return {
		endpointAddress: endpoint.address,
		replicationAddress: replication.address,
		controlAddress: control.address,
		async close() {
			puller.close();
			transport.close();
			await Promise.all([endpoint.close(), replication.close(), control.close()]);
			timers.close();
		},
	};
};

/** The control port answers under every fault, since it ends them. */
const listenControl = async (instance: Instance) => listenGated({
	host: instance.settings.host,
	port: instance.settings.controlPort,
	faults: {untilThawed: async () => undefined},
	refuses: () => false,
	consumer: createControlServer(instance),
});

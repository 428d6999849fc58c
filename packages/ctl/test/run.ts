import {once} from 'node:events';
import {createServer} from 'node:http2';
import {type AddressInfo} from 'node:net';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {PeerService} from '@dogwoodthread/protocol';
import {type RunningPlatform, startPlatform} from '@dogwoodthread/standin';
import {pino} from 'pino';
import {type Test} from 'tap';
import {commands, createConnector, runCli} from '../src/index.js';

/** `versions` has one document version for each proxy in the member table that the fake proxy reports. */
export type FakeProxy = {address: string; versions: number[]; content: string; contentVersion: number};

/** Runs `dogwoodctl` in this process; replaces ids, times and addresses in its output by placeholders. */
export const runCtl = async (...args: string[]): Promise<{code: number; output: string}> => {
	const logger = pino({level: 'silent'});
	let output = '';
	const code = await runCli(['node', 'dogwoodctl', ...args], {
		commands,
		version: '0.0.0',
		logger,
		write(text) {
			output += text;
		},
		connect: createConnector(logger),
	});
	return {
		code,
		output: output
			.replaceAll(/change-[\da-f-]{36}/g, 'CHANGE')
			.replaceAll(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, 'TIME')
			.replaceAll(/"atUnixMs":\d+/g, '"atUnixMs":0')
			.replaceAll(/127\.0\.0\.1:\d+/g, 'ADDRESS'),
	};
};

export const startTestPlatform = async (t: Test): Promise<RunningPlatform> => {
	const platform = await startPlatform();
	t.teardown(async () => platform.close());
	return platform;
};

/** Starts a peer service with the methods that `dogwoodctl` calls. */
export const startFakeProxy = async (t: Test): Promise<FakeProxy> => {
	const proxy: FakeProxy = {
		address: '', versions: [], content: '', contentVersion: 0,
	};
	const server = createServer(connectNodeAdapter({
		routes(router) {
			router.service(PeerService, {
				getView: () => ({
					members: proxy.versions.map((version, index) => ({
						hostId: `p${index}`, state: 'alive', peerAddress: proxy.address, documentVersion: BigInt(version),
					})),
				}),
				getDocument: () => ({version: BigInt(proxy.contentVersion), content: proxy.content}),
			});
		},
	}));
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	proxy.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	return proxy;
};

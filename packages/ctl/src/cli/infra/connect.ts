import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {SystemTimerService} from '@dogwoodthread/coordination';
import {HttpPlatform} from '@dogwoodthread/proxy';
import {type Logger} from 'pino';
import {PeerProxyView} from '../../proxies/index.js';
import {type CliOptions} from '../core/run-cli.js';
import {UsageError} from '../domain/command-options.js';

/** Timeout of one call to the platform or a proxy; the platform usually answers in milliseconds. */
const callTimeoutMs = 5000;

const readInput = (path: string): string => {
	try {
		return readFileSync(path === '-' ? 0 : path, 'utf8');
	} catch (error) {
		throw new UsageError(`The file ${path} cannot be read: ${error instanceof Error ? error.message : String(error)}`);
	}
};

const parsePlatformUrl = (text: string): string => {
	if (URL.canParse(text) && /^https?:$/.test(new URL(text).protocol)) {
		return text;
	}

	throw new UsageError(`--platform is ${text}; give a URL such as http://127.0.0.1:7000.`);
};

const parseProxyAddress = (text: string): string => {
	if (/^[\w.[\]:-]+:\d{1,5}$/.test(text)) {
		return text;
	}

	throw new UsageError(`--proxy is ${text}; give an address such as 127.0.0.1:7100.`);
};

/** Creates the function that gives commands access to the platform and the proxies named by the options. */
export const createConnector = (logger: Logger): CliOptions['connect'] => options => {
	const timers = new SystemTimerService();
	let view: PeerProxyView | undefined;
	return {
		timers,
		platform: () => new HttpPlatform({baseUrl: parsePlatformUrl(options.requiredText('platform')), timeoutMs: callTimeoutMs, logger}),
		proxies() {
			view ??= new PeerProxyView({address: parseProxyAddress(options.requiredText('proxy')), timeoutMs: callTimeoutMs});
			return view;
		},
		readFile: readInput,
		newChangeId: () => `change-${randomUUID()}`,
		close() {
			view?.close();
			timers.close();
		},
	};
};

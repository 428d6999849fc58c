import {type Scenario} from '../definitions.js';
import {CrestScenario} from './crest.js';
import {CrossedScenario} from './crossed.js';
import {DocumentScenario} from './document.js';
import {FailoverScenario} from './failover.js';
import {LeavingScenario} from './leaving.js';
import {LongWorkScenario} from './long-work.js';
import {PartitionScenario} from './partition.js';
import {PausedOwnerScenario} from './paused-owner.js';
import {PlatformOutageScenario} from './platform-outage.js';
import {ReadShareScenario} from './read-share.js';
import {RollingRestartScenario} from './rolling-restart.js';
import {SilentScenario} from './silent.js';
import {SteadyScenario} from './steady.js';

export const createScenarios = (): Scenario[] => [
	new SteadyScenario(),
	new FailoverScenario(),
	new PartitionScenario(),
	new PlatformOutageScenario(),
	new RollingRestartScenario(),
	new SilentScenario(),
	new CrossedScenario(),
	new PausedOwnerScenario(),
	new LeavingScenario(),
	new LongWorkScenario(),
	new CrestScenario(),
	new ReadShareScenario(),
	new DocumentScenario(),
];

import {type Scenario} from '../definitions.js';
import {CrossedScenario} from './crossed.js';
import {FailoverScenario} from './failover.js';
import {LeavingScenario} from './leaving.js';
import {PartitionScenario} from './partition.js';
import {PausedOwnerScenario} from './paused-owner.js';
import {PlatformOutageScenario} from './platform-outage.js';
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
];

/** Clock and timers: the interface, the system implementation and a manual one for tests. */
export type {TimerService, TimerSubscription} from './definitions.js';
export {SystemTimerService} from './infra/system-timer-service.js';
export {ManualTimerService} from './infra/manual-timer-service.js';

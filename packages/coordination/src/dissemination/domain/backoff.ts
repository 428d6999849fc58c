import {type RandomSource} from '../../random/index.js';
import {type DisseminationSettings} from '../definitions.js';

/** Delay after failed attempt number `attempt` (from 1): doubles up to the maximum; up to half of it is subtracted at random. */
export const backoffMs = (attempt: number, {minBackoffMs, maxBackoffMs}: DisseminationSettings, random: RandomSource): number => {
	const boundMs = Math.min(maxBackoffMs, minBackoffMs * (2 ** Math.min(attempt - 1, 20)));
	return boundMs * (0.5 + (random() / 2));
};

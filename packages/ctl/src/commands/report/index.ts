/** The command `report`. */
export {reportCommand} from './core/report-command.js';

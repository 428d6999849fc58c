/** The command `report`. */
export {createReportCommand} from './core/report-command.js';

/** `dogwoodctl explain`. */
export {explainCommand} from './core/explain-command.js';

/** Client statements and their answers. */
export type {
	Access, ClientAnswer, ClientStatement, ErrorCode, TransactionState,
} from './definitions.js';

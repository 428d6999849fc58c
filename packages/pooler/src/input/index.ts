/** Buffers of incoming messages, and the limit on the memory that they take together. */
export {
	BufferBudget, bufferLimitBytes, type BufferAccount, type BufferAccountOptions, type BufferBudgetOptions, type BufferSource, type CutReason,
} from './buffer-budget.js';
export {LineBuffer, type LineBufferOptions} from './line-buffer.js';

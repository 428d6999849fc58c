import {type ResultAsync} from 'neverthrow';

/** Returns the value of a call that must succeed. */
export const expectValue = async <T, E>(call: ResultAsync<T, E>): Promise<T> => {
	const result = await call;
	return result._unsafeUnwrap();
};

/** Returns the error of a call that must fail. */
export const expectError = async <T, E>(call: ResultAsync<T, E>): Promise<E> => {
	const result = await call;
	return result._unsafeUnwrapErr();
};

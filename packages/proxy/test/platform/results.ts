import {type ResultAsync} from 'neverthrow';

/** Value of a call that must succeed. */
export const valueOf = async <T, E>(call: ResultAsync<T, E>): Promise<T> => {
	const result = await call;
	return result._unsafeUnwrap();
};

/** Error of a call that must fail. */
export const errorOf = async <T, E>(call: ResultAsync<T, E>): Promise<E> => {
	const result = await call;
	return result._unsafeUnwrapErr();
};

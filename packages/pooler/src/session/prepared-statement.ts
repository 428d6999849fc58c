import {createHash} from 'node:crypto';
import {type Access} from '../statement/index.js';

/** A prepared statement of a client. The client knows it by a name of its own. */
export type PreparedStatement = {
	access: Access;
	shape: string;
	/** Name of the statement at the endpoints, shared by all clients that prepared the same shape. */
	sharedName: string;
};

/**
 * Names the statement at the endpoints by a digest of what it does. A shape is any text of a client, so it cannot be a part
 * of the name, which is one word of a line. All hosts compute the same name, and none that a host of an earlier version gives
 * to another shape: those begin with `r_` or `w_`.
 */
export function createPreparedStatement(access: Access, shape: string): PreparedStatement {
	// As UTF-16, no two texts have the same bytes, also where a text is not valid Unicode.
	const digest = createHash('sha256').update(shape, 'utf16le').digest('base64url');
	return {access, shape, sharedName: `${access === 'read' ? 'pr' : 'pw'}${digest}`};
}

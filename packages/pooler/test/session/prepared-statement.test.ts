import fc from 'fast-check';
import {test} from 'tap';
import {createPreparedStatement} from '../../src/index.js';

const accesses = ['read', 'write'] as const;
/** Any text, with parts that repeat, so that one shape often begins like another one. */
const shapes = fc.oneof(
	fc.string({unit: 'binary'}),
	fc.string({unit: fc.constantFrom('a', 'b', ' ', '_', 'READ ', 'WRITE ', '\uD800', '\uDC00')}),
);

// Guards against a name of several words, which turns the line that it stands in into another statement.
test('the name of a prepared statement is one short word, whatever its shape', t => {
	t.doesNotThrow(() => {
		fc.assert(fc.property(fc.constantFrom(...accesses), shapes, (access, shape) => /^p[rw][\w-]{43}$/.test(createPreparedStatement(access, shape).sharedName)));
	});
	t.end();
});

// Guards against a client that runs the shape of another one, because both have the same name on a connection.
test('two prepared statements have the same name only if they are the same', t => {
	t.doesNotThrow(() => {
		fc.assert(fc.property(fc.constantFrom(...accesses), shapes, fc.constantFrom(...accesses), shapes, (access, shape, otherAccess, otherShape) => {
			const isSame = access === otherAccess && shape === otherShape;
			return (createPreparedStatement(access, shape).sharedName === createPreparedStatement(otherAccess, otherShape).sharedName) === isSame;
		}));
	});
	t.not(createPreparedStatement('read', '\uD800').sharedName, createPreparedStatement('read', '\uDC00').sharedName);
	t.end();
});

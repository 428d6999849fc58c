import fc from 'fast-check';
import {test} from 'tap';
import {PreparedNames} from '../../src/pool/prepared-names.js';

const maxNames = 256;
const maxShapeLength = 262_144;

// Guards against memory that grows with each new shape, at the host and at the instance, for as long as a connection is open.
test('a connection keeps a bounded number of statements, of bounded length together', t => {
	const shapeLengths = fc.oneof({weight: 20, arbitrary: fc.integer({min: 1, max: 20})}, fc.integer({min: 1, max: 2 * maxShapeLength}));
	const names = fc.integer({min: 0, max: 400}).map(String);
	const uses = fc.array(fc.record({name: names, shapeLength: shapeLengths}), {minLength: 300, maxLength: 1000});
	const counts = {deallocated: 0, kept: 0};
	t.doesNotThrow(() => {
		fc.assert(fc.property(uses, sequence => {
			const prepared = new PreparedNames();
			const atEndpoint = new Map<string, number>();
			return sequence.every(({name, shapeLength}) => {
				if (prepared.has(name)) {
					prepared.touch(name);
					counts.kept += 1;
					return atEndpoint.has(name);
				}

				const deallocatedNames = prepared.namesToDeallocate;
				for (const deallocated of deallocatedNames) {
					prepared.delete(deallocated);
					atEndpoint.delete(deallocated);
					counts.deallocated += 1;
				}

				prepared.add(name, shapeLength);
				atEndpoint.set(name, shapeLength);
				const total = [...atEndpoint.values()].reduce((sum, length) => sum + length, 0);
				return deallocatedNames.length <= 2 && atEndpoint.size <= maxNames && total - shapeLength <= maxShapeLength;
			});
		}));
	});
	t.ok(counts.deallocated > 100 && counts.kept > 100, JSON.stringify(counts));
	t.end();
});

// Guards against a statement in use that is prepared again and again, because rare ones of others take its place.
test('the statement that was not used for longest is deallocated first', t => {
	const names = new PreparedNames();
	for (const index of Array.from({length: maxNames}, (_, number) => number)) {
		names.add(`n${index}`, 10);
	}

	names.touch('n0');
	t.same(names.namesToDeallocate, ['n1']);
	t.end();
});

// Guards against a statement that waits for the removal of many others, and against long shapes that stay beside short ones.
test('shapes that are too long together make room one at a time, the longest first', t => {
	const names = new PreparedNames();
	names.add('short', 10);
	names.add('long', maxShapeLength - 10);
	t.same(names.namesToDeallocate, []);
	names.add('next', 20);
	t.same(names.namesToDeallocate, ['long']);
	t.end();
});

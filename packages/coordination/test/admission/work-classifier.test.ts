import {test} from 'tap';
import {WorkClassifier} from '../../src/index.js';

// Guards against long statements with a stated short class, flapping classes, classes that change because the
// whole instance is slow, and a table that grows without bound with the number of statement names.
test('classes are learned with hysteresis and within bounds', t => {
	const classifier = new WorkClassifier({maxStatements: 50});
	const run = (statementName: string, serviceMs: number, times = 30) => {
		for (let index = 0; index < times; index++) {
			classifier.observe(statementName, serviceMs);
		}

		return classifier.classify(statementName, 'short');
	};

	run('hold', 10);
	run('pay', 12);
	const steps = [run('refund', 400), run('refund', 90), run('refund', 40), run('refund', 90)];
	t.same(steps, ['long', 'long', 'short', 'short']);
	run('refund', 400);
	t.equal(classifier.classify('refund', 'browse'), 'long');
	t.equal(classifier.classify('refund', 'critical'), 'critical', 'payments are not moved to the long slots');
	for (let index = 0; index < 40; index++) {
		['hold', 'pay'].map(name => run(name, 300, 1));
	}

	t.equal(classifier.classify('hold', undefined), 'short', 'a slowdown of the whole instance makes no statement long');
	Array.from({length: 200}, (_, index) => run(`name ${index}`, 10, 1));
	t.equal(classifier.size, 50);
	t.end();
});

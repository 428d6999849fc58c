import {Buffer} from 'node:buffer';
import {getHeapStatistics, setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {test} from 'tap';
import {copyText} from '../../src/index.js';

const messageBytes = 1_000_000;
const messageCount = 100;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function usedHeapBytes(): number {
	collectGarbage();
	return getHeapStatistics().used_heap_size;
}

/** Growth of the heap by parts of 20 characters of 100 messages of 1 MB each. */
function measureKeptBytes(keep: (text: string) => string): number {
	const before = usedHeapBytes();
	const kept = Array.from({length: messageCount}, (_, index) => keep(Buffer.alloc(messageBytes, `message ${index} `).toString('latin1').slice(20, 40)));
	const grown = usedHeapBytes() - before;
	return kept.length === messageCount ? grown : Number.NaN;
}

// Guards against a kept name that keeps its message, so that the limits on session memory count a fraction of it.
test('a copied text does not keep the message that it is a part of', t => {
	const slicedBytes = measureKeptBytes(text => text);
	const copiedBytes = measureKeptBytes(copyText);
	t.comment(`heap growth: ${slicedBytes} bytes with parts, ${copiedBytes} with copies`);
	t.ok(slicedBytes > messageCount * messageBytes / 2, 'without the copy the messages are kept');
	t.ok(copiedBytes < messageBytes);
	t.end();
});

// Guards against a copy that changes bytes.
test('all characters of Latin-1 are copied unchanged', t => {
	const text = String.fromCodePoint(...Array.from({length: 256}, (_, code) => code));
	t.equal(copyText(text), text);
	t.equal(copyText(''), '');
	t.end();
});

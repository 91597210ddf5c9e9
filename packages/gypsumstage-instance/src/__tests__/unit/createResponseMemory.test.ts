import assert from "node:assert/strict";
import { test } from "node:test";
import { createResponseMemory } from "../../upstream/createResponseMemory.js";

test("when the memory for responses is full, the largest response is evicted and the others keep theirs", () => {
    const memory = createResponseMemory(100);
    const evicted: string[] = [];
    const large = memory.open(() => evicted.push("large"));
    const small = memory.open(() => evicted.push("small"));
    large.grow(80);
    small.grow(20);
    assert.deepEqual(evicted, []);
    small.grow(1);
    assert.deepEqual(evicted, ["large"]);
    assert.equal(memory.usedBytes(), 21);
    large.grow(1_000);
    large.close();
    assert.equal(memory.usedBytes(), 21);
    small.close();
    small.close();
    assert.equal(memory.usedBytes(), 0);
});

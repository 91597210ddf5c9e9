import assert from "node:assert/strict";
import { test } from "node:test";
import { findHeadFault } from "../../findHeadFault.js";

const find = (rawHeaders: readonly string[], httpVersion = "1.1"): string | undefined =>
    findHeadFault({ httpVersion, rawHeaders: ["Host", "x", ...rawHeaders] });

test("an ordinary head has no fault", () => {
    assert.equal(find(["Content-Length", "5", "x-a", "1 2\t3", "x-a", "4"]), undefined);
    assert.equal(find(["Transfer-Encoding", "Chunked "]), undefined);
    assert.equal(find([], "1.0"), undefined);
});

test("a head that another server may read in another way has a fault, whatever the parser accepts", () => {
    assert.equal(find(["bad name", "1"]), "field-name-invalid");
    assert.equal(find(["name ", "1"]), "field-name-invalid");
    assert.equal(find(["", "1"]), "field-name-invalid");
    assert.equal(find(["naïve", "1"]), "field-name-invalid");
    assert.equal(find(["a", "1\rb: 2"]), "field-value-invalid");
    assert.equal(find(["a", "1\nb: 2"]), "field-value-invalid");
    assert.equal(find(["a", "1\0"]), "field-value-invalid");
    assert.equal(find(["host", "y"]), "field-repeated");
    assert.equal(find(["content-length", "5", "Content-Length", "5"]), "field-repeated");
    assert.equal(find(["content-length", "5", "transfer-encoding", "chunked"]), "two-body-lengths");
    assert.equal(find(["transfer-encoding", "gzip, chunked"]), "transfer-encoding-unsupported");
    assert.equal(
        find(["transfer-encoding", "chunked", "transfer-encoding", "chunked"]),
        "transfer-encoding-unsupported",
    );
    assert.equal(find(["transfer-encoding", "chunked"], "1.0"), "transfer-encoding-unsupported");
});

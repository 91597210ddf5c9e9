import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { parseAddress } from "../../parseAddress.js";

test("an address is one of IPv4, or of IPv6 in brackets, with a port", () => {
    assert.deepEqual(parseAddress("10.0.0.1:80"), { host: "10.0.0.1", port: 80 });
    assert.deepEqual(parseAddress("[::1]:8080"), { host: "::1", port: 8_080 });
    const unusable = [
        "[10.0.0.1]:80",
        "[::1%1]:80",
        "::1:80",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "name:80",
        ":80",
        "",
    ];
    assert.deepEqual(unusable.map(parseAddress), unusable.map(() => undefined));
});

test("every address that is accepted is one that the HTTP client accepts, with the same host and port", () => {
    const host = fc.oneof(
        fc.ipV4(),
        fc.ipV4Extended(),
        fc.ipV6(),
        fc.string(),
        fc.ipV6().map(ip => `${ip}%1`),
    );
    const port = fc.oneof(fc.nat(70_000).map(String), fc.string());
    fc.assert(
        fc.property(host, port, fc.boolean(), (hostText, portText, isBracketed) => {
            const text = `${isBracketed ? `[${hostText}]` : hostText}:${portText}`;
            const parsed = parseAddress(text);
            if (parsed === undefined) {
                return;
            }
            const url = new URL(`http://${text}`);
            assert.equal(Number(url.port === "" ? 80 : url.port), parsed.port);
            assert.ok(url.hostname === parsed.host || isBracketed);
        }),
        { seed: 13, numRuns: 5_000 },
    );
});

import assert from "node:assert/strict";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { request } from "undici";
import { createRequestServer } from "../../createRequestServer.js";
import { createRequestHandler } from "../../request/createRequestHandler.js";
import type { RequestContext } from "../../request/RequestContext.js";
import { createTestContext } from "../unit/createTestContext.js";

test("a request whose handler fails gets a response that promises nothing, and a log line with its id", async () => {
    const { ctx } = createTestContext({} as RequestContext["permits"]);
    const events: unknown[] = [];
    const failing: RequestContext = {
        ...ctx,
        headerCodec: { ...ctx.headerCodec, readRequest: () => ({ requestId: "a-1" }) as never },
        view: () => {
            throw new TypeError("fault of the view");
        },
        log: (...[, event, fields]) => events.push({ event, fields }),
    };
    const { server } = createRequestServer(createRequestHandler(failing, () => "serving", "caller"));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const res = await request(`http://127.0.0.1:${port}/check/1`, { signal: AbortSignal.timeout(10_000) });
    assert.equal(res.statusCode, 502);
    assert.match(await res.body.text(), /internal-error/);
    server.close();
    assert.deepEqual(events, [{
        event: "request-handler-failed",
        fields: { request: "a-1", path: "/check/1", reason: "fault of the view" },
    }]);
});

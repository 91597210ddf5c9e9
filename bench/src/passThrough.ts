import Fastify from "fastify";
import { Agent } from "undici";

// A bare fastify and undici pass-through with simple load balancing policies: the baseline for forwarded requests.
const [host = "127.0.0.1", port = "0", policy = "round-robin", addressList = ""] = process.argv.slice(2);
const endpoints = addressList.split(",");
const agent = new Agent({ pipelining: 1 });
const reportedInFlight = new Map<string, number>();
let roundRobinIndex = 0;

const chooseEndpoint = (): string => {
    roundRobinIndex += 1;
    const nextInTurn = endpoints[roundRobinIndex % endpoints.length] ?? "";
    if (policy === "random") {
        return endpoints[Math.floor(Math.random() * endpoints.length)] ?? nextInTurn;
    }
    if (policy === "least-reported") {
        const leastInFlight = Math.min(...endpoints.map(each => reportedInFlight.get(each) ?? 0));
        const leastLoaded = endpoints.filter(each => (reportedInFlight.get(each) ?? 0) === leastInFlight);
        return leastLoaded[Math.floor(Math.random() * leastLoaded.length)] ?? nextInTurn;
    }
    return nextInTurn;
};

const updateReportedInFlight = async (): Promise<void> => {
    await Promise.all(endpoints.map(async endpoint => {
        const res = await agent.request({ origin: `http://${endpoint}`, path: "/load", method: "GET" });
        const { inFlight } = await res.body.json() as { readonly inFlight: number; };
        reportedInFlight.set(endpoint, inFlight);
    }));
};

if (policy === "least-reported") {
    setInterval(() => void updateReportedInFlight().catch(() => undefined), 1_000);
}

const app = Fastify({ keepAliveTimeout: 30_000, requestTimeout: 0 });
app.removeAllContentTypeParsers();
app.addContentTypeParser("*", (_req, _payload, done) => done(null)); // eslint-disable-line no-restricted-syntax -- fastify's "no error"
app.all("/*", async (req, reply) => {
    const { host: reqHost, connection, "transfer-encoding": reqTransferEncoding, ...headers } = req.headers;
    void [reqHost, connection, reqTransferEncoding];
    const hasBody = req.method !== "GET";
    const res = await agent.request({
        origin: `http://${chooseEndpoint()}`,
        path: req.url,
        method: req.method as "GET",
        headers,
        ...(hasBody ? { body: req.raw } : {}),
    });
    const { connection: resConnection, "transfer-encoding": resTransferEncoding, ...resHeaders } =
        res.headers;
    void [resConnection, resTransferEncoding];
    return reply.code(res.statusCode).headers(resHeaders).send(res.body);
});
await app.listen({ host, port: Number(port) });
process.stdout.write("listening\n");

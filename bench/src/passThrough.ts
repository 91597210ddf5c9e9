import Fastify from "fastify";
import { Agent } from "undici";

// A bare fastify and undici pass-through with a simple choice of the endpoint: the baseline of carried requests.
const [host = "127.0.0.1", port = "0", policy = "round-robin", list = ""] = process.argv.slice(2);
const endpoints = list.split(",");
const agent = new Agent({ pipelining: 1 });
const reported = new Map<string, number>();
let turn = 0;

const choose = (): string => {
    turn += 1;
    const fallback = endpoints[turn % endpoints.length] ?? "";
    if (policy === "random") {
        return endpoints[Math.floor(Math.random() * endpoints.length)] ?? fallback;
    }
    if (policy === "least-reported") {
        const least = Math.min(...endpoints.map(each => reported.get(each) ?? 0));
        const best = endpoints.filter(each => (reported.get(each) ?? 0) === least);
        return best[Math.floor(Math.random() * best.length)] ?? fallback;
    }
    return fallback;
};

const readReports = async (): Promise<void> => {
    await Promise.all(endpoints.map(async endpoint => {
        const res = await agent.request({ origin: `http://${endpoint}`, path: "/load", method: "GET" });
        const { inFlight } = await res.body.json() as { readonly inFlight: number; };
        reported.set(endpoint, inFlight);
    }));
};

if (policy === "least-reported") {
    setInterval(() => void readReports().catch(() => undefined), 1_000);
}

const app = Fastify({ keepAliveTimeout: 30_000, requestTimeout: 0 });
app.removeAllContentTypeParsers();
app.addContentTypeParser("*", (_req, _payload, done) => done(null)); // eslint-disable-line no-restricted-syntax -- fastify's "no error"
app.all("/*", async (req, reply) => {
    const { host: dropped, connection, "transfer-encoding": coding, ...headers } = req.headers;
    void [dropped, connection, coding];
    const hasBody = req.method !== "GET";
    const res = await agent.request({
        origin: `http://${choose()}`,
        path: req.url,
        method: req.method as "GET",
        headers,
        ...(hasBody ? { body: req.raw } : {}),
    });
    const { connection: ended, "transfer-encoding": answered, ...kept } = res.headers;
    void [ended, answered];
    return reply.code(res.statusCode).headers(kept).send(res.body);
});
await app.listen({ host, port: Number(port) });
process.stdout.write("listening\n");

import Fastify from "fastify";

// A fastify server that returns a constant lookup response: the baseline for lookups, and the upstream of the
// throughput benchmark.
const [host = "127.0.0.1", port = "0"] = process.argv.slice(2);
const responseBody = {
    service: "berth-desk",
    instances: [{ address: "127.0.0.1:1", dataCentre: "a", region: "r" }],
    ttlSeconds: 2,
    generation: 1,
};
const app = Fastify({ keepAliveTimeout: 30_000 });
app.get("/*", async (_req, reply) => reply.send(responseBody));
await app.listen({ host, port: Number(port) });
process.stdout.write("listening\n");

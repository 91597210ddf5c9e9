/**
 * Trial, no case: in the product's own `entry` role, a refusal that a faulty endpoint writes once more is believed for the next
 * request. Needs `npm ci && npm run build`; it starts the project's own stand-in deployment with its own roles, which
 * the deploy file does not start. Exits with 1 if a keyed request ran twice or one that ran was said not to have run.
 */
import { createServer } from "node:net";
import { createCaller } from "../../packages/gypsumstage-standins/dist/caller/createCaller.js";
import { createTwoRegionPlan } from "../../packages/gypsumstage-standins/dist/deployment/createTwoRegionPlan.js";
import { startServing } from "../../packages/gypsumstage-standins/dist/deployment/startServing.js";

const isTrouble = process.env.TROUBLE !== "0";
const NETWORK = 57;
const PORT = 9_000;
const REQUESTS = 1_200;
const REQUEST_INTERVAL_MS = 12;
const WORK_MS = 60;
/** Of the requests of a connection, each fourth is refused, as by an endpoint whose slots are taken. */
const REFUSED_EACH = 4;
const REFUSAL = "HTTP/1.1 503 Service Unavailable\r\ngypsumstage-refused: overload\r\ncontent-length: 0\r\n\r\n";

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
const runsById = new Map();

/** Starts an endpoint that writes a refusal once more when the next request of the connection has arrived. */
const startFaultyEndpoint = host =>
    new Promise(resolve => {
        const server = createServer(socket => {
            let received = "";
            let count = 0;
            let isRefusalLast = false;
            const handle = head => {
                const id = /idempotency-key: (.*)/i.exec(head)?.[1] ?? /request-id: (.*)/i.exec(head)?.[1];
                count += 1;
                if (!isRefusalLast && count % REFUSED_EACH === 0) {
                    isRefusalLast = true;
                    socket.write(REFUSAL);
                    return;
                }
                runsById.set(id, [...runsById.get(id) ?? [], host]);
                if (isRefusalLast && isTrouble) {
                    socket.write(REFUSAL);
                }
                isRefusalLast = false;
                setTimeout(() => {
                    if (!socket.destroyed) {
                        socket.write(`HTTP/1.1 200 OK\r\nanswer-for: ${id}\r\ncontent-length: 2\r\n\r\nok`);
                    }
                }, WORK_MS);
            };
            socket.on("error", () => undefined);
            socket.on("data", bytes => {
                received += bytes.toString("latin1");
                for (;;) {
                    const end = received.indexOf("\r\n\r\n");
                    const head = received.slice(0, Math.max(0, end));
                    const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
                    if (end < 0 || received.length < end + 4 + length) {
                        return;
                    }
                    received = received.slice(end + 4 + length);
                    handle(head);
                }
            });
        });
        server.listen(PORT, host, () => resolve(server));
    });

const deployment = await startServing(createTwoRegionPlan(NETWORK, false));
const members = deployment.platform.members().filter(each => each.kind === "upstream" && each.service === "booking-ledger");
for (const [index, { name }] of members.entries()) {
    const host = `127.${NETWORK}.220.${index + 1}`;
    await startFaultyEndpoint(host);
    deployment.updateMember(name, { address: `${host}:${PORT}` });
}
await sleep(5_000);
const callers = deployment.instances.map(instance => createCaller([instance.lookup]));
const outcomes = {};
const refusedButRun = [];
const sendOne = async index => {
    const { outcome, key } = await callers[index % callers.length].send({
        service: "booking-ledger",
        method: "POST",
        path: "/confirmations",
        id: `trial-${index}`,
        isKeyed: index % 2 === 0,
        ...(index % 3 === 0 ? {} : { body: "x" }),
        maxAttempts: 1,
        timeoutMs: 1_500,
    });
    outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
    const id = key ?? `trial-${index}`;
    if (outcome === "not-run" && runsById.has(id)) {
        refusedButRun.push(id);
    }
};
const pending = [];
for (let index = 0; index < REQUESTS; index++) {
    pending.push(sendOne(index));
    await sleep(REQUEST_INTERVAL_MS);
}
await Promise.all(pending);
const twice = [...runsById].filter(([, hosts]) => hosts.length > 1);
console.log({ outcomes, ran: runsById.size, ranTwice: twice.length, saidNotRunButRan: refusedButRun.length });
await deployment.stop();
process.exit(twice.length + refusedButRun.length > 0 ? 1 : 0);

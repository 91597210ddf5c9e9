import { isIP } from "node:net";
import { z } from "zod";
import { parseAddress } from "./parseAddress.js";

const address = z.string("IP:port").refine(text => parseAddress(text) !== undefined, "IP:port");
const ipAddress = z.string().refine(text => isIP(text) !== 0, "an IP address");
const name = z.string("a name").regex(/^[a-z0-9][a-z0-9-]*$/, "lower-case letters, digits and hyphens");

const addressList = z.string().default("").transform(text =>
    text.split(",").map(item => item.trim()).filter(item => item !== "")
)
    .refine(list => list.every(item => parseAddress(item) !== undefined), "IP:port, separated by commas");

/**
 * Schema of the settings of an instance: its place, its addresses, the address of the platform and the
 * initial peers. The three roles of an instance read the same file.
 */
export const instanceSettingsSchema = z.strictObject({
    instance: z.strictObject(
        { name, launch: name, dataCentre: name, region: name, sourceAddress: ipAddress.optional() },
        "a section",
    ),
    // Local listen addresses, for use when the advertised addresses lead through a proxy or NAT.
    listen: z.strictObject({
        entry: address.optional(),
        peer: address.optional(),
        lookup: address.optional(),
        steer: address.optional(),
    }).default({}),
    entry: z.strictObject({ address, peer: address, metrics: address }, "a section"),
    lookup: z.strictObject({ address }, "a section"),
    steer: z.strictObject({ address }, "a section"),
    platform: z.strictObject({ address }, "a section"),
    peers: z.strictObject({ steer: addressList }).default({ steer: [] }),
    log: z.strictObject({
        level: z.enum(["debug", "info", "warn", "error"], "debug, info, warn or error").default("info"),
    })
        .default({ level: "info" }),
    trace: z.strictObject({
        exporter: z.union([z.literal("none"), z.url("none or a URL")], "none or a URL").default("none"),
    })
        .default({ exporter: "none" }),
}).superRefine((cfg, ctx) => {
    const settingByAddress = new Map<string, string>();
    const addresses = [
        ["entry", "address", cfg.entry.address],
        ["entry", "peer", cfg.entry.peer],
        ["entry", "metrics", cfg.entry.metrics],
        ["lookup", "address", cfg.lookup.address],
        ["steer", "address", cfg.steer.address],
    ] as const;
    for (const [section, key, value] of addresses) {
        const other = settingByAddress.get(value);
        if (other !== undefined) {
            ctx.addIssue({
                code: "custom",
                path: [section, key],
                message: `an address of its own; ${other} has this one`,
            });
        }
        settingByAddress.set(value, `[${section}] ${key}`);
    }
    const peers = new Set<string>();
    for (const peer of cfg.peers.steer) {
        if (settingByAddress.has(peer) || peers.has(peer)) {
            ctx.addIssue({
                code: "custom",
                path: ["peers", "steer"],
                message: `two instances with one address: ${peer}`,
            });
        }
        peers.add(peer);
    }
});

import type { PeerState } from "@gypsumstage/steering/traffic/PeerState";
import type { PeerTable } from "@gypsumstage/steering/traffic/PeerTable";
import { recordTopicAnnouncement } from "@gypsumstage/steering/traffic/recordTopicAnnouncement";
import assert from "node:assert/strict";
import { test } from "node:test";
import { parsePeerMessage } from "../../peers/parsePeerMessage.js";

/** An announcement as the build 00ef077 sends it. */
const EARLIER_ANNOUNCEMENT =
    "{\"jsonrpc\":\"2.0\",\"method\":\"peer.topics\",\"params\":{\"name\":\"r\",\"incarnation\":\"i\",\"isReady\":true,\"topics\":"
    + "{\"policy\":{\"era\":1,\"revision\":7,\"count\":1,\"digest\":5}},\"storeAgeMs\":2100}}";

const KNOWN: PeerTable = new Map([[
    "r",
    { receivedAtMs: 0, heardAtMs: 0, report: { name: "r", incarnation: "i" } } as PeerState,
]]);

const receive = (text: string): PeerState | undefined => {
    const message = parsePeerMessage(Buffer.from(text));
    assert.ok(message.ok && message.value.kind === "announcement", JSON.stringify(message));
    return recordTopicAnnouncement(KNOWN, message.value.announcement, 10).get("r");
};

test("an announcement of the build before is understood", () => {
    const { report } = receive(EARLIER_ANNOUNCEMENT) ?? {};
    assert.deepEqual([report?.storeAgeMs, report?.topics.policy?.revision], [2_100, 7]);
});

test("an announcement of an instance that has never read the store itself passes on its copies, and makes it no reader", () => {
    const { report } = receive(EARLIER_ANNOUNCEMENT.replace(",\"storeAgeMs\":2100", "")) ?? {};
    assert.deepEqual([report?.storeAgeMs, report?.topics.policy?.revision], [undefined, 7]);
});

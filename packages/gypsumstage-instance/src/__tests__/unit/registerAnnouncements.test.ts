import { createStore } from "@gypsumstage/shared/createStore";
import { sleep } from "@gypsumstage/shared/sleep";
import { EMPTY_TOPIC } from "@gypsumstage/steering/traffic/EMPTY_TOPIC";
import type { TopicAnnouncement } from "@gypsumstage/steering/traffic/TopicAnnouncement";
import type { TopicEvent } from "@gypsumstage/steering/traffic/TopicEvent";
import type { TopicState } from "@gypsumstage/steering/traffic/TopicState";
import { updateTopic } from "@gypsumstage/steering/traffic/updateTopic";
import assert from "node:assert/strict";
import { test } from "node:test";
import { registerAnnouncements } from "../../peers/registerAnnouncements.js";

const evacuated = (name: string, revision: number): TopicEvent => ({
    kind: "changed",
    changes: [{ kind: "put", record: { name, revision, value: { kind: "evacuation", dataCentre: name } } }],
    era: 0,
    revision,
    retainUntilMs: undefined,
});

const start = (isReader: boolean): {
    readonly announced: readonly TopicAnnouncement[];
    readonly change: (event: TopicEvent) => void;
    readonly stop: () => void;
} => {
    const topicStore = createStore<TopicState, TopicEvent>(EMPTY_TOPIC, updateTopic);
    const announced: TopicAnnouncement[] = [];
    const createAnnouncement = (): TopicAnnouncement => ({
        name: "n-1",
        incarnation: "i",
        isReady: true,
        topics: { evacuations: { revision: topicStore.get().revision ?? 0, count: 0 } },
        storeAgeMs: 10,
    });
    const { stop } = registerAnnouncements(
        () => isReader ? createAnnouncement() : undefined,
        () => [],
        [topicStore],
        () => 500,
        announcement => announced.push(announcement),
    );
    return { announced, change: topicStore.dispatch, stop };
};

test("a reader announces a change before the next interval, one announcement for changes close together", async () => {
    const { announced, change, stop } = start(true);
    change(evacuated("a", 7));
    change(evacuated("b", 8));
    await sleep(200);
    stop();
    assert.deepEqual(announced.map(each => each.topics.evacuations?.revision), [8]);
});

test("an instance that does not read the store announces nothing", async () => {
    const { announced, change, stop } = start(false);
    change(evacuated("a", 7));
    await sleep(700);
    stop();
    assert.deepEqual(announced, []);
});

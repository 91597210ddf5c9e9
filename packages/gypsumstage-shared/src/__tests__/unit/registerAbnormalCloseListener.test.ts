import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import { registerAbnormalCloseListener } from "../../registerAbnormalCloseListener.js";

const createSocket = (
    remoteAddress: string | undefined,
): EventEmitter & { readonly remoteAddress?: string; } =>
    Object.assign(new EventEmitter(), remoteAddress === undefined ? {} : { remoteAddress });

const countAbnormalCloses = (
    socket: EventEmitter & { readonly remoteAddress?: string; },
    event: string,
): number => {
    let closes = 0;
    registerAbnormalCloseListener(socket, () => {
        closes += 1;
    });
    socket.emit(event, new Error("reset"));
    return closes;
};

test("a connection that ends without a remote address counts as reset", () => {
    assert.equal(countAbnormalCloses(createSocket(undefined), "end"), 1);
});

test("a connection that ends with a remote address counts as closed properly", () => {
    assert.equal(countAbnormalCloses(createSocket("10.0.0.1"), "end"), 0);
});

test("a socket error counts as an abnormal close", () => {
    assert.equal(countAbnormalCloses(createSocket("10.0.0.1"), "error"), 1);
});

test("a connection that ends while bytes wait to be written does not count as closed properly", () => {
    const socket = Object.assign(createSocket("10.0.0.1"), { writableLength: 1 });
    assert.equal(countAbnormalCloses(socket, "end"), 1);
});

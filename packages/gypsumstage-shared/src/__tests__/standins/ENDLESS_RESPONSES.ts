const HEAD = "HTTP/1.1 200 OK\r\n";

/** Ways in which a response has no end: its name, its beginning and the piece that is repeated. */
export const ENDLESS_RESPONSES = [
    ["header fields", HEAD, "x-filler: 1\r\n"],
    ["one header field", `${HEAD}x-filler: `, "a"],
    ["a status line", "HTTP/1.1 200 ", "a"],
    ["empty lines before the status line", "", "\r\n"],
    ["interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"],
    ["a body that ends with its connection", `${HEAD}connection: close\r\n\r\n`, "a"],
    [
        "a body in chunks",
        `${HEAD}transfer-encoding: chunked\r\n\r\n`,
        "4000\r\n" + "a".repeat(16_384) + "\r\n",
    ],
    ["a body in chunks of one byte", `${HEAD}transfer-encoding: chunked\r\n\r\n`, "1\r\na\r\n"],
    ["a chunk extension", `${HEAD}transfer-encoding: chunked\r\n\r\n1;a=`, "a"],
    ["trailers", `${HEAD}transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n`, "x-filler: 1\r\n"],
] as const;

/** The head of a request, as the HTTP parser read it. */
interface RequestHead {
    readonly httpVersion: string;
    /** Names and values of the fields in turn, as received. */
    readonly rawHeaders: readonly string[];
}

/** Why a head is refused. */
type HeadFault =
    | "field-name-invalid"
    | "field-value-invalid"
    | "field-repeated"
    | "two-body-lengths"
    | "transfer-encoding-unsupported";

const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const CONTROL_CHARACTER = /[\0\r\n]/;
const UNREPEATABLE_FIELDS: readonly string[] = ["host", "content-length"];

/**
 * Finds what makes a request ambiguous for the next server, although the HTTP parser accepted it. Releases of Node.js differ
 * in what they accept, so this does not rely on the parser: a request that two servers read differently can hide another one
 * (request smuggling).
 *
 * @param head - the head of the request
 * @returns the first fault; undefined when there is none
 */
export const findHeadFault = ({ httpVersion, rawHeaders }: RequestHead): HeadFault | undefined => {
    const names = rawHeaders.filter((...[, index]) => index % 2 === 0).map(name => name.toLowerCase());
    const values = rawHeaders.filter((...[, index]) => index % 2 === 1);
    const valuesOf = (name: string): readonly string[] =>
        values.filter((...[, index]) => names[index] === name);
    if (!names.every(name => TOKEN.test(name))) {
        return "field-name-invalid";
    }
    if (values.some(value => CONTROL_CHARACTER.test(value))) {
        return "field-value-invalid";
    }
    if (UNREPEATABLE_FIELDS.some(name => valuesOf(name).length > 1)) {
        return "field-repeated";
    }
    const encodings = valuesOf("transfer-encoding");
    if (encodings.length === 0) {
        return undefined;
    }
    if (names.includes("content-length")) {
        return "two-body-lengths";
    }
    const isChunkedOnly = encodings.length === 1 && encodings[0]?.trim().toLowerCase() === "chunked";
    return isChunkedOnly && httpVersion === "1.1" ? undefined : "transfer-encoding-unsupported";
};

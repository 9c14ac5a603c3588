use crate::{
    auth::{SharedKey, TAG_BYTES},
    context::parse_hex,
};

/// Prefix of the paths of messages between daemons; it names no service, since service names
/// contain no dot.
pub(crate) const MESH_PREFIX: &str = "/.banyantrestle/";
/// Path of requests for a retry permit.
pub(crate) const PERMIT_PATH: &str = "/.banyantrestle/permit";
/// Path of rows that a batcher is to commit.
pub(crate) const CLAIMS_PATH: &str = "/.banyantrestle/claims";
/// Path of queries to the holder of a claim.
pub(crate) const HOLDER_QUERY_PATH: &str = "/.banyantrestle/answer";
/// Path of requests for the active policy.
pub(crate) const POLICY_PATH: &str = "/.banyantrestle/policy";

/// Purposes keep the tag of a call from being valid for a message, and the other way round.
const CALL_PURPOSE: &str = "mesh-call";
const MESSAGE_PURPOSE: &str = "mesh-message";
const FIELD_SEPARATOR: u8 = b'\n';

/// Computes the tag of a call over its method, path and context.
pub(crate) fn call_tag(
    key: &SharedKey,
    method: &str,
    path: &str,
    context: &str,
) -> [u8; TAG_BYTES] {
    key.tag(CALL_PURPOSE, &call_tag_input(method, path, context))
}

/// Whether the header value `tag` is valid for the call.
pub(crate) fn is_valid_call_tag(
    key: &SharedKey,
    method: &str,
    path: &str,
    context: &str,
    tag: &str,
) -> bool {
    let Some(tag) = decode_tag(tag) else {
        return false;
    };
    key.is_valid_tag(CALL_PURPOSE, &call_tag_input(method, path, context), &tag)
}

/// Computes the tag of a message over its path and body.
pub(crate) fn message_tag(key: &SharedKey, path: &str, body: &[u8]) -> [u8; TAG_BYTES] {
    key.tag(MESSAGE_PURPOSE, &message_tag_input(path, body))
}

/// Whether the header value `tag` is valid for the message.
pub(crate) fn is_valid_message_tag(key: &SharedKey, path: &str, body: &[u8], tag: &str) -> bool {
    let Some(tag) = decode_tag(tag) else {
        return false;
    };
    key.is_valid_tag(MESSAGE_PURPOSE, &message_tag_input(path, body), &tag)
}

/// Formats a tag as hexadecimal digits for its header.
pub(crate) fn encode_tag(tag: [u8; TAG_BYTES]) -> String {
    format!("{:032x}", u128::from_be_bytes(tag))
}

fn decode_tag(text: &str) -> Option<[u8; TAG_BYTES]> {
    let value = parse_hex(text, 2 * TAG_BYTES)?;
    Some(value.to_be_bytes())
}

fn call_tag_input(method: &str, path: &str, context: &str) -> Vec<u8> {
    let mut input = Vec::with_capacity(method.len() + path.len() + context.len() + 2);
    input.extend_from_slice(method.as_bytes());
    input.push(FIELD_SEPARATOR);
    input.extend_from_slice(path.as_bytes());
    input.push(FIELD_SEPARATOR);
    input.extend_from_slice(context.as_bytes());
    input
}

fn message_tag_input(path: &str, body: &[u8]) -> Vec<u8> {
    let mut input = Vec::with_capacity(path.len() + body.len() + 1);
    input.extend_from_slice(path.as_bytes());
    input.push(FIELD_SEPARATOR);
    input.extend_from_slice(body);
    input
}

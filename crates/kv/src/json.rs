//! Messages in the format of the registry's JSON gateway: keys and values in base64, 64-bit numbers as strings, the
//! responses of a watch as one JSON object per line.

use crate::types::{Change, Header, KeyValue, Request, Response};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use memchr::memchr;
use serde::{Deserialize, Deserializer};
use serde_json::json;
use thiserror::Error;

/// Error code for a request at a compacted revision (gRPC `OUT_OF_RANGE`).
const OUT_OF_RANGE: i64 = 11;

/// Why a response can't be decoded. The caller must close the connection.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JsonError {
    /// The response is not valid JSON, or not a message of this API.
    #[error("malformed response: {0}")]
    Malformed(String),
    /// A message exceeds the maximum length, in bytes.
    #[error("message is longer than {0} bytes")]
    TooLong(usize),
}

/// A 64-bit number as a string or as a number; the JSON mapping of the API allows both.
fn deserialize_i64<'de, D: Deserializer<'de>>(from: D) -> Result<i64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Either {
        Text(String),
        Number(i64),
    }
    match Either::deserialize(from)? {
        Either::Number(number) => Ok(number),
        // Cluster ids are unsigned 64-bit numbers; the cast keeps their bits.
        Either::Text(text) => text
            .parse()
            .or_else(|_| text.parse::<u64>().map(|n| n as i64))
            .map_err(|_| serde::de::Error::custom("expected a 64-bit number")),
    }
}

/// Bytes as a base64 string.
fn deserialize_base64<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(from)?;
    STANDARD.decode(text).map_err(|_| serde::de::Error::custom("expected base64"))
}

#[derive(Deserialize, Default)]
struct RawHeader {
    #[serde(default, deserialize_with = "deserialize_i64")]
    cluster_id: i64,
    #[serde(default, deserialize_with = "deserialize_i64")]
    revision: i64,
}

impl From<&RawHeader> for Header {
    fn from(raw: &RawHeader) -> Self {
        Self { cluster: raw.cluster_id as u64, revision: raw.revision }
    }
}

#[derive(Deserialize)]
struct RawKv {
    #[serde(default, deserialize_with = "deserialize_base64")]
    key: Vec<u8>,
    #[serde(default, deserialize_with = "deserialize_base64")]
    value: Vec<u8>,
    #[serde(default, deserialize_with = "deserialize_i64")]
    mod_revision: i64,
}

impl From<RawKv> for KeyValue {
    fn from(raw: RawKv) -> Self {
        Self { key: raw.key, value: raw.value, mod_revision: raw.mod_revision }
    }
}

#[derive(Deserialize)]
struct RawRange {
    header: RawHeader,
    #[serde(default)]
    kvs: Vec<RawKv>,
    #[serde(default)]
    more: bool,
}

#[derive(Deserialize)]
struct RawError {
    #[serde(default)]
    code: i64,
}

#[derive(Deserialize)]
struct RawEvent {
    #[serde(default, rename = "type")]
    kind: String,
    kv: RawKv,
}

#[derive(Deserialize)]
struct RawWatch {
    #[serde(default)]
    header: RawHeader,
    #[serde(default)]
    created: bool,
    #[serde(default)]
    canceled: bool,
    #[serde(default)]
    fragment: bool,
    #[serde(default, deserialize_with = "deserialize_i64")]
    compact_revision: i64,
    #[serde(default)]
    events: Vec<RawEvent>,
}

#[derive(Deserialize)]
struct RawLine {
    result: Option<RawWatch>,
}

/// End of the key range that covers the prefix (exclusive). `\0`, which means no end, if the prefix has no upper bound.
fn range_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// Encodes a request about a prefix as a path and a body; `None` for [`Request::Close`], which sends nothing.
pub fn encode_request(prefix: &[u8], request: &Request) -> Option<(&'static str, Vec<u8>)> {
    let base64 = |bytes: &[u8]| STANDARD.encode(bytes);
    let end = base64(&range_end(prefix));
    let (path, body) = match request {
        Request::Range { from, revision, limit } => {
            let body = json!({
                "key": base64(from), "range_end": end,
                "limit": limit.to_string(), "revision": revision.to_string(),
            });
            ("/v3/kv/range", body)
        }
        Request::Watch { revision } => {
            let create = json!({
                "key": base64(prefix), "range_end": end, "start_revision": revision.to_string(),
                "progress_notify": true, "fragment": true,
            });
            ("/v3/watch", json!({ "create_request": create }))
        }
        Request::Close => return None,
    };
    Some((path, body.to_string().into_bytes()))
}

/// Decodes the complete HTTP response to a range request.
///
/// # Errors
/// [`JsonError::Malformed`] if a response with status 200 does not contain a range.
pub fn decode_range(status: u16, body: &[u8]) -> Result<Response, JsonError> {
    if status != 200 {
        let code = serde_json::from_slice::<RawError>(body).map_or(0, |error| error.code);
        return Ok(if code == OUT_OF_RANGE { Response::Compacted(0) } else { Response::Failed });
    }
    let raw: RawRange = serde_json::from_slice(body).map_err(|e| JsonError::Malformed(e.to_string()))?;
    let kvs = raw.kvs.into_iter().map(KeyValue::from).collect();
    Ok(Response::Range { header: (&raw.header).into(), kvs, more: raw.more })
}

/// Incremental decoder of the response to a watch request.
#[derive(Debug)]
pub struct WatchDecoder {
    /// Bytes of an incomplete line.
    buffer: Vec<u8>,
    max_message: usize,
}

impl WatchDecoder {
    /// Creates a decoder for a new watch; `max_message` is the maximum length of one message in bytes.
    pub fn new(max_message: usize) -> Self {
        Self { buffer: Vec::new(), max_message }
    }

    /// Adds received bytes and appends the messages that they complete to `out`.
    ///
    /// # Errors
    /// If a message is malformed or too long; the decoder must not be used after an error.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<Response>) -> Result<(), JsonError> {
        self.buffer.extend_from_slice(bytes);
        let mut consumed = 0;
        while let Some(end) = memchr(b'\n', &self.buffer[consumed..]) {
            let line = &self.buffer[consumed..consumed + end];
            if line.len() > self.max_message {
                return Err(JsonError::TooLong(self.max_message));
            }
            consumed += end + 1;
            if !line.trim_ascii().is_empty() {
                out.push(decode_watch_message(line)?);
            }
        }
        self.buffer.drain(..consumed);
        if self.buffer.len() > self.max_message { Err(JsonError::TooLong(self.max_message)) } else { Ok(()) }
    }
}

/// Decodes one message of a watch.
fn decode_watch_message(line: &[u8]) -> Result<Response, JsonError> {
    let raw: RawLine = serde_json::from_slice(line).map_err(|e| JsonError::Malformed(e.to_string()))?;
    // A message without a result is an error that ends the stream.
    let Some(raw) = raw.result else { return Ok(Response::Failed) };
    let header = (&raw.header).into();
    if raw.canceled {
        let compacted = raw.compact_revision > 0;
        return Ok(if compacted { Response::Compacted(raw.compact_revision) } else { Response::Failed });
    } else if raw.created {
        return Ok(Response::WatchCreated(header));
    } else if raw.events.is_empty() && !raw.fragment {
        return Ok(Response::Progress(header));
    }
    let change = |event: RawEvent| match event.kind.as_str() {
        "DELETE" => Change::Delete(event.kv.key, event.kv.mod_revision),
        _ => Change::Put(event.kv.into()),
    };
    let changes = raw.events.into_iter().map(change).collect();
    Ok(Response::Changes { header, changes, fragment: raw.fragment })
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEAD: &str =
        r#""header":{"cluster_id":"14841639068965178418","member_id":"1","revision":"7","raft_term":"2"}"#;

    fn header() -> Header {
        Header { cluster: 14_841_639_068_965_178_418, revision: 7 }
    }

    #[test]
    fn requests_cover_the_whole_prefix() {
        let watch = encode_request(b"/w/", &Request::Watch { revision: 8 }).expect("a request");
        let body: serde_json::Value = serde_json::from_slice(&watch.1).expect("JSON");
        assert_eq!(
            (watch.0, &body["create_request"]["range_end"]),
            ("/v3/watch", &json!(STANDARD.encode("/w0")))
        );
        assert_eq!(body["create_request"]["start_revision"], json!("8"));
        assert_eq!((range_end(b"a\xff"), range_end(b"\xff\xff")), (b"b".to_vec(), vec![0]));
        assert_eq!(encode_request(b"", &Request::Close), None);
    }

    #[test]
    fn range_responses_and_errors_are_decoded() {
        let body = format!(
            r#"{{{HEAD},"kvs":[{{"key":"L3cvYQ==","value":"eA==","mod_revision":"5","version":"1"}}],"more":true,"count":"9"}}"#
        );
        let kv = KeyValue { key: b"/w/a".to_vec(), value: b"x".to_vec(), mod_revision: 5 };
        assert_eq!(
            decode_range(200, body.as_bytes()),
            Ok(Response::Range { header: header(), kvs: vec![kv], more: true })
        );
        let compacted = br#"{"error":"mvcc: required revision has been compacted","code":11}"#;
        assert_eq!(decode_range(400, compacted), Ok(Response::Compacted(0)));
        assert_eq!(decode_range(503, b"no leader"), Ok(Response::Failed));
        assert!(decode_range(200, b"{}").is_err());
        assert!(decode_range(200, br#"{"header":{"revision":"x"}}"#).is_err());
    }

    #[test]
    fn a_watch_decodes_alike_for_every_split_of_its_bytes() {
        let lines = [
            format!(r#"{{"result":{{{HEAD},"created":true}}}}"#),
            format!(
                r#"{{"result":{{{HEAD},"events":[{{"kv":{{"key":"YQ==","value":"eA==","mod_revision":"6"}}}}],"fragment":true}}}}"#
            ),
            format!(
                r#"{{"result":{{{HEAD},"events":[{{"type":"DELETE","kv":{{"key":"YQ==","mod_revision":"7"}}}}]}}}}"#
            ),
            format!(r#"{{"result":{{{HEAD}}}}}"#),
            format!(r#"{{"result":{{{HEAD},"canceled":true,"compact_revision":"6"}}}}"#),
            r#"{"error":{"grpc_code":14,"message":"gone"}}"#.to_owned(),
        ];
        let put = Change::Put(KeyValue { key: b"a".to_vec(), value: b"x".to_vec(), mod_revision: 6 });
        let expected = [
            Response::WatchCreated(header()),
            Response::Changes { header: header(), changes: vec![put], fragment: true },
            Response::Changes {
                header: header(),
                changes: vec![Change::Delete(b"a".to_vec(), 7)],
                fragment: false,
            },
            Response::Progress(header()),
            Response::Compacted(6),
            Response::Failed,
        ];
        let text = lines.join("\n") + "\n";
        for piece_len in [1, 2, 3, 17, text.len()] {
            let (mut decoder, mut out) = (WatchDecoder::new(1_000), Vec::new());
            for piece in text.as_bytes().chunks(piece_len) {
                decoder.push(piece, &mut out).expect("valid messages");
            }
            assert_eq!(out, expected, "pieces of {piece_len}");
        }
        let mut limited = WatchDecoder::new(10);
        assert_eq!(limited.push(b"{\"result\":{}", &mut Vec::new()), Err(JsonError::TooLong(10)));
        assert!(WatchDecoder::new(100).push(b"what\n", &mut Vec::new()).is_err());
    }
}

//! The messages as the registry's JSON gateway carries them: keys and values in base64, 64-bit numbers as text, a
//! watch as one JSON object a line.

use crate::types::{Ask, Change, Header, Heard, KeyValue};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use memchr::memchr;
use serde::{Deserialize, Deserializer};
use serde_json::json;
use thiserror::Error;

/// Code of a question about a revision that is compacted away (gRPC `OUT_OF_RANGE`).
const OUT_OF_RANGE: i64 = 11;

/// Why an answer can't be read. The connection is to be given up.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JsonError {
    /// It is not the JSON of this API.
    #[error("unreadable message: {0}")]
    Message(String),
    /// A message is longer than the bound.
    #[error("message longer than {0} bytes")]
    TooLong(usize),
}

/// A 64-bit number as text or as a number; both are allowed in this mapping.
fn number<'de, D: Deserializer<'de>>(from: D) -> Result<i64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Either {
        Text(String),
        Number(i64),
    }
    match Either::deserialize(from)? {
        Either::Number(number) => Ok(number),
        // Cluster ids are unsigned: their bits are kept.
        Either::Text(text) => text
            .parse()
            .or_else(|_| text.parse::<u64>().map(|n| n as i64))
            .map_err(|_| serde::de::Error::custom("expected a 64-bit number")),
    }
}

fn bytes<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(from)?;
    STANDARD.decode(text).map_err(|_| serde::de::Error::custom("expected base64"))
}

#[derive(Deserialize, Default)]
struct RawHeader {
    #[serde(default, deserialize_with = "number")]
    cluster_id: i64,
    #[serde(default, deserialize_with = "number")]
    revision: i64,
}

impl From<&RawHeader> for Header {
    fn from(raw: &RawHeader) -> Self {
        Self { cluster: raw.cluster_id as u64, revision: raw.revision }
    }
}

#[derive(Deserialize)]
struct RawKv {
    #[serde(default, deserialize_with = "bytes")]
    key: Vec<u8>,
    #[serde(default, deserialize_with = "bytes")]
    value: Vec<u8>,
    #[serde(default, deserialize_with = "number")]
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
    #[serde(default, deserialize_with = "number")]
    compact_revision: i64,
    #[serde(default)]
    events: Vec<RawEvent>,
}

#[derive(Deserialize)]
struct RawLine {
    result: Option<RawWatch>,
}

/// The first key after all that have the prefix; `\0` stands for no end.
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

/// Path and body of the request for a question about a prefix; `None` where nothing is to be sent.
pub fn request(prefix: &[u8], ask: &Ask) -> Option<(&'static str, Vec<u8>)> {
    let text = |bytes: &[u8]| STANDARD.encode(bytes);
    let end = text(&range_end(prefix));
    let (path, body) = match ask {
        Ask::Range { from, revision, limit } => {
            let body = json!({
                "key": text(from), "range_end": end,
                "limit": limit.to_string(), "revision": revision.to_string(),
            });
            ("/v3/kv/range", body)
        }
        Ask::Watch { revision } => {
            let create = json!({
                "key": text(prefix), "range_end": end, "start_revision": revision.to_string(),
                "progress_notify": true, "fragment": true,
            });
            ("/v3/watch", json!({ "create_request": create }))
        }
        Ask::Close => return None,
    };
    Some((path, body.to_string().into_bytes()))
}

/// What the whole answer to a range says.
///
/// # Errors
/// Where a status of 200 does not carry a range.
pub fn range_answer(status: u16, body: &[u8]) -> Result<Heard, JsonError> {
    if status != 200 {
        let code = serde_json::from_slice::<RawError>(body).map_or(0, |error| error.code);
        return Ok(if code == OUT_OF_RANGE { Heard::Compacted(0) } else { Heard::Broken });
    }
    let raw: RawRange = serde_json::from_slice(body).map_err(|e| JsonError::Message(e.to_string()))?;
    let kvs = raw.kvs.into_iter().map(KeyValue::from).collect();
    Ok(Heard::Range { header: (&raw.header).into(), kvs, more: raw.more })
}

/// Takes a watch's answer as its bytes come.
#[derive(Debug)]
pub struct WatchStream {
    buffer: Vec<u8>,
    most: usize,
}

impl WatchStream {
    /// A fresh watch whose messages are at most so long, in bytes.
    pub fn new(most: usize) -> Self {
        Self { buffer: Vec::new(), most }
    }

    /// Adds bytes and appends what they complete.
    ///
    /// # Errors
    /// Where a message can't be read or grows past the bound; the stream is of no more use.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<Heard>) -> Result<(), JsonError> {
        self.buffer.extend_from_slice(bytes);
        let mut from = 0;
        while let Some(end) = memchr(b'\n', &self.buffer[from..]) {
            let line = &self.buffer[from..from + end];
            if line.len() > self.most {
                return Err(JsonError::TooLong(self.most));
            }
            from += end + 1;
            if !line.trim_ascii().is_empty() {
                out.push(message(line)?);
            }
        }
        self.buffer.drain(..from);
        if self.buffer.len() > self.most { Err(JsonError::TooLong(self.most)) } else { Ok(()) }
    }
}

fn message(line: &[u8]) -> Result<Heard, JsonError> {
    let raw: RawLine = serde_json::from_slice(line).map_err(|e| JsonError::Message(e.to_string()))?;
    // Without a result it is an error in the midst of the stream.
    let Some(raw) = raw.result else { return Ok(Heard::Broken) };
    let header = (&raw.header).into();
    if raw.canceled {
        let compacted = raw.compact_revision > 0;
        return Ok(if compacted { Heard::Compacted(raw.compact_revision) } else { Heard::Broken });
    } else if raw.created {
        return Ok(Heard::Watching(header));
    } else if raw.events.is_empty() && !raw.fragment {
        return Ok(Heard::Progress(header));
    }
    let change = |event: RawEvent| match event.kind.as_str() {
        "DELETE" => Change::Delete(event.kv.key, event.kv.mod_revision),
        _ => Change::Put(event.kv.into()),
    };
    let changes = raw.events.into_iter().map(change).collect();
    Ok(Heard::Changes { header, changes, fragment: raw.fragment })
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
    fn questions_name_the_whole_prefix() {
        let watch = request(b"/w/", &Ask::Watch { revision: 8 }).expect("a request");
        let body: serde_json::Value = serde_json::from_slice(&watch.1).expect("JSON");
        assert_eq!(
            (watch.0, &body["create_request"]["range_end"]),
            ("/v3/watch", &json!(STANDARD.encode("/w0")))
        );
        assert_eq!(body["create_request"]["start_revision"], json!("8"));
        assert_eq!((range_end(b"a\xff"), range_end(b"\xff\xff")), (b"b".to_vec(), vec![0]));
        assert_eq!(request(b"", &Ask::Close), None);
    }

    #[test]
    fn ranges_and_their_errors() {
        let body = format!(
            r#"{{{HEAD},"kvs":[{{"key":"L3cvYQ==","value":"eA==","mod_revision":"5","version":"1"}}],"more":true,"count":"9"}}"#
        );
        let kv = KeyValue { key: b"/w/a".to_vec(), value: b"x".to_vec(), mod_revision: 5 };
        assert_eq!(
            range_answer(200, body.as_bytes()),
            Ok(Heard::Range { header: header(), kvs: vec![kv], more: true })
        );
        let compacted = br#"{"error":"mvcc: required revision has been compacted","code":11}"#;
        assert_eq!(range_answer(400, compacted), Ok(Heard::Compacted(0)));
        assert_eq!(range_answer(503, b"no leader"), Ok(Heard::Broken));
        assert!(range_answer(200, b"{}").is_err());
        assert!(range_answer(200, br#"{"header":{"revision":"x"}}"#).is_err());
    }

    #[test]
    fn a_watch_reads_the_same_however_its_bytes_are_cut() {
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
            Heard::Watching(header()),
            Heard::Changes { header: header(), changes: vec![put], fragment: true },
            Heard::Changes {
                header: header(),
                changes: vec![Change::Delete(b"a".to_vec(), 7)],
                fragment: false,
            },
            Heard::Progress(header()),
            Heard::Compacted(6),
            Heard::Broken,
        ];
        let text = lines.join("\n") + "\n";
        for step in [1, 2, 3, 17, text.len()] {
            let (mut stream, mut out) = (WatchStream::new(1_000), Vec::new());
            for piece in text.as_bytes().chunks(step) {
                stream.push(piece, &mut out).expect("readable");
            }
            assert_eq!(out, expected, "pieces of {step}");
        }
        let mut long = WatchStream::new(10);
        assert_eq!(long.push(b"{\"result\":{}", &mut Vec::new()), Err(JsonError::TooLong(10)));
        assert!(WatchStream::new(100).push(b"what\n", &mut Vec::new()).is_err());
    }
}

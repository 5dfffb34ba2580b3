use bytes::{BufMut, BytesMut};
use std::fmt::{Arguments, Write};

fn write_text(out: &mut BytesMut, text: Arguments) {
    // Writing to a buffer in memory doesn't fail.
    let _ = out.write_fmt(text);
}

/// Fields of an `exec` request besides its id and body.
#[derive(Clone, Copy, Debug)]
pub struct ExecFields<'a> {
    /// Name of the class.
    pub queue: &'a str,
    /// Name of the function.
    pub path: &'a str,
    /// How long the scheduler waits for the answer, in milliseconds.
    pub budget_ms: u64,
    /// Idempotency key, for classes whose workers discard repeated requests by key.
    pub key: Option<&'a str>,
}

/// Writes an `exec` request, which runs a function.
pub fn exec(out: &mut BytesMut, id: &str, fields: ExecFields, body: &[u8]) {
    let ExecFields { queue, path, budget_ms, key } = fields;
    out.reserve(body.len() + 192);
    write_text(out, format_args!("exec {id} queue={queue},path={path},budget={budget_ms}"));
    if let Some(key) = key {
        write_text(out, format_args!(",uniq={key}"));
    }
    write_text(out, format_args!(" {}\r\n", body.len()));
    out.put_slice(body);
    out.put_slice(b"\r\n");
}

/// Writes a `drop` command, which withdraws the request with this id. It has no answer.
pub fn drop_request(out: &mut BytesMut, id: &str) {
    write_text(out, format_args!("drop {id}\r\n"));
}

/// Writes a `health` command, which queries whether the worker is healthy.
pub fn health(out: &mut BytesMut, tag: &str) {
    write_text(out, format_args!("health {tag}\r\n"));
}

/// Writes a `load` command, which queries the worker's health and its load report.
pub fn load(out: &mut BytesMut, tag: &str) {
    write_text(out, format_args!("load {tag}\r\n"));
}

/// Writes an `ensure` command: the worker loads copies until at least `count` are loaded. 0 only queries their number.
pub fn ensure(out: &mut BytesMut, tag: &str, path: &str, count: u32) {
    write_text(out, format_args!("ensure {tag} path={path},slots_up={count}\r\n"));
}

/// Writes a `release` command, which unloads the idle copies of a function.
pub fn release(out: &mut BytesMut, path: &str) {
    write_text(out, format_args!("release {path}\r\n"));
}

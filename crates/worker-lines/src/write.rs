use bytes::{BufMut, BytesMut};
use std::fmt::{Arguments, Write};

fn put(out: &mut BytesMut, text: Arguments) {
    // A buffer in memory takes all.
    let _ = out.write_fmt(text);
}

/// What a request tells a worker beside its id and body.
#[derive(Clone, Copy, Debug)]
pub struct ExecFields<'a> {
    /// The class.
    pub queue: &'a str,
    /// The function.
    pub path: &'a str,
    /// How long the request is waited for, in milliseconds.
    pub budget_ms: u64,
    /// The effect's key, of a class whose workers discard repeats by it.
    pub key: Option<&'a str>,
}

/// A request.
pub fn exec(out: &mut BytesMut, id: &str, fields: ExecFields, body: &[u8]) {
    let ExecFields { queue, path, budget_ms, key } = fields;
    out.reserve(body.len() + 192);
    put(out, format_args!("exec {id} queue={queue},path={path},budget={budget_ms}"));
    if let Some(key) = key {
        put(out, format_args!(",uniq={key}"));
    }
    put(out, format_args!(" {}\r\n", body.len()));
    out.put_slice(body);
    out.put_slice(b"\r\n");
}

/// Gives a request up; it is not answered.
pub fn drop_request(out: &mut BytesMut, id: &str) {
    put(out, format_args!("drop {id}\r\n"));
}

/// Asks whether the worker is well.
pub fn health(out: &mut BytesMut, tag: &str) {
    put(out, format_args!("health {tag}\r\n"));
}

/// The same, with the load report.
pub fn load(out: &mut BytesMut, tag: &str) {
    put(out, format_args!("load {tag}\r\n"));
}

/// Has at least `count` copies held; 0 only asks.
pub fn ensure(out: &mut BytesMut, tag: &str, path: &str, count: u32) {
    put(out, format_args!("ensure {tag} path={path},slots_up={count}\r\n"));
}

/// Has idle copies unloaded.
pub fn release(out: &mut BytesMut, path: &str) {
    put(out, format_args!("release {path}\r\n"));
}

//! Adapter between the simulator's line protocol and [`basaltward::Controller`]: reads batches of events, runs one
//! controller for each scheduler instance, and writes their actions. It takes no decisions of its own.

use basaltward::{
    Action, Code, Controller, CopyStatus, Event, Member, MembersKind, Outcome, Request, RequestId,
    WorkerState,
};
use std::collections::HashMap;
use std::fmt;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Why the adapter stopped before the end of its input.
#[derive(Debug)]
pub enum AdapterError {
    /// A line violates the protocol.
    Malformed {
        /// The line's number, from 1.
        line: usize,
        /// Description of the expected input.
        expected: String,
    },
    /// Reading or writing failed.
    Io(io::Error),
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed { line, expected } => write!(f, "line {line}: expected {expected}"),
            Self::Io(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for AdapterError {}

impl From<io::Error> for AdapterError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// The fields of one line, consumed in order.
struct Fields<'a> {
    parts: std::str::SplitN<'a, char>,
}

impl<'a> Fields<'a> {
    fn optional(&mut self) -> Option<&'a str> {
        self.parts.next().filter(|part| *part != "-" && !part.is_empty())
    }

    fn text(&mut self, name: &str) -> Result<&'a str, String> {
        self.optional().ok_or_else(|| format!("a value for {name}"))
    }

    fn number<T: std::str::FromStr>(&mut self, name: &str) -> Result<T, String> {
        let text = self.text(name)?;
        text.parse().map_err(|_| format!("a number for {name}, not {text:?}"))
    }

    fn number_or<T: std::str::FromStr>(&mut self, name: &str, absent: T) -> Result<T, String> {
        match self.optional() {
            None => Ok(absent),
            Some(text) => text.parse().map_err(|_| format!("a number for {name}, not {text:?}")),
        }
    }

    fn finite(&mut self, name: &str) -> Result<f64, String> {
        let value: f64 = self.number(name)?;
        if value.is_finite() { Ok(value) } else { Err(format!("a finite number for {name}")) }
    }

    fn id(&mut self) -> Result<RequestId, String> {
        let text = self.text("xid")?;
        let usable = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        match u64::from_str_radix(text, 16) {
            Ok(id) if usable => Ok(RequestId(id)),
            _ => Err(format!("16 hex digits for xid, not {text:?}")),
        }
    }

    fn report(&mut self) -> Result<Vec<f64>, String> {
        let Some(text) = self.optional() else {
            return Ok(Vec::new());
        };
        text.split(',')
            .map(|part| match part {
                "-" | "" => Ok(f64::NAN),
                part => part.parse().map_err(|_| format!("numbers in the load report, not {part:?}")),
            })
            .collect()
    }
}

fn code(number: u32) -> Code {
    match number {
        200 => Code::Ok,
        500 => Code::Error,
        503 => Code::Full,
        504 => Code::Timeout,
        502 => Code::ConnectFailed,
        598 => Code::Reset,
        499 => Code::Cancelled,
        410 => Code::Moot,
        404 => Code::Miss,
        _ => Code::Unknown,
    }
}

fn member(fields: &mut Fields) -> Result<Member, String> {
    let cell = fields.number_or("pack", 0)?;
    let worker = fields.text("worker")?.into();
    let started = fields.number_or("sinceUs", 0)?;
    let state = match fields.text("readiness")? {
        "active" => WorkerState::Active,
        "leaving" => WorkerState::Leaving,
        "left" => WorkerState::Gone,
        other => return Err(format!("readiness active, leaving or left, not {other:?}")),
    };
    let hint = fields.number_or("capacityHint", 1.0)?;
    Ok(Member {
        worker,
        state,
        started,
        hint,
        kind: fields.number_or("type", 0)?,
        zone: fields.number_or("az", 0)?,
        cell,
    })
}

fn outcome(fields: &mut Fields) -> Result<Outcome, String> {
    let id = fields.id()?;
    let worker = fields.text("worker")?.into();
    let code = code(fields.number("result")?);
    let latency = fields.number_or("latencyUs", 0)?;
    let is_final = fields.number_or("last", 0u8)? != 0;
    let detail: Option<u32> =
        fields.optional().map(str::parse).transpose().map_err(|_| "a number for detail")?;
    let attempt = fields.number_or("sendNo", 0)?;
    let copy = match (code, detail.unwrap_or(0) % 8) {
        (Code::Ok, 1) => CopyStatus::Loaded,
        (Code::Ok, 2) => CopyStatus::LoadStarted,
        (Code::Ok, 3) => CopyStatus::WaitedForLoad,
        (Code::Miss | Code::Error, 4) => CopyStatus::LoadFailed,
        _ => CopyStatus::Unknown,
    };
    let crowd = detail.filter(|_| matches!(code, Code::Ok | Code::Full)).map(|d| d / 8);
    Ok(Outcome { id, attempt, worker, code, latency, is_final, copy, crowd, report: fields.report()? })
}

fn request(fields: &mut Fields) -> Result<Request, String> {
    let id = fields.id()?;
    let tenant = fields.number_or("realm", 0)?;
    let _flags: u32 = fields.number_or("flags", 0)?;
    let class = fields.number_or("band", 0)?;
    let load_ms = fields.number_or("bringupMs", 0.0f64)?;
    Ok(Request {
        id,
        tenant,
        class,
        load_time: (load_ms > 0.0).then_some((load_ms * 1000.0) as u64),
        client_timeout: fields.number("patienceLeftUs")?,
        memory_mb: fields.finite("residentMb")?,
        lanes: fields.number_or("perCopy", 1)?,
        function: fields.text("app")?.into(),
    })
}

/// Parses the event of one line, or `None` if the line is irrelevant to the controller.
fn event(
    name: &str,
    fields: &mut Fields,
    lists: &HashMap<u32, Vec<Member>>,
) -> Result<Option<Event>, String> {
    Ok(Some(match name {
        "membership" => {
            let list = fields.optional();
            let _serial = fields.optional();
            let kind = match fields.text("how")? {
                "patch" => MembersKind::Changes,
                "whole" => MembersKind::Whole,
                "stale_copy" => MembersKind::Stale,
                "broken" => MembersKind::Failed,
                other => return Err(format!("how patch, whole, stale_copy or broken, not {other:?}")),
            };
            let members = match (kind, list) {
                (MembersKind::Failed, _) => Vec::new(),
                (_, Some(text)) => {
                    let number = text.parse::<u32>().ok();
                    number.and_then(|n| lists.get(&n)).cloned().ok_or("the number of a list sent before")?
                }
                (_, None) => return Err("the number of a list".into()),
            };
            Event::Members { kind, members }
        }
        "request" => Event::Request(request(fields)?),
        "ack_first" => {
            let id = fields.id()?;
            Event::AnswerStarted { id, attempt: fields.number("sendNo")? }
        }
        "verdict" => Event::Outcome(outcome(fields)?),
        "timed_out_client" => Event::ClientGone { id: fields.id()? },
        "wake" => match fields.text("token")?.parse() {
            Ok(token) => Event::Timer { token },
            Err(_) => return Ok(None),
        },
        "probed" => {
            let worker = fields.text("worker")?.into();
            let latency = fields.number_or("latencyUs", 0)?;
            let code = code(fields.number("result")?);
            Event::Probed { worker, code, latency, report: fields.report()? }
        }
        "neighbour_says" => {
            let from = fields.number("from")?;
            let hex = fields.optional().unwrap_or("").as_bytes();
            let digit = |b: u8| (b as char).to_digit(16);
            let bytes = hex.chunks(2).map(|pair| match pair {
                [a, b] => Some((digit(*a)? * 16 + digit(*b)?) as u8),
                _ => None,
            });
            let payload = bytes.collect::<Option<_>>().ok_or("pairs of hex digits")?;
            Event::Peer { from, payload }
        }
        "warmed" => {
            let function = fields.text("app")?.into();
            let count = fields.number_or("count", 0)?;
            let latency = fields.number_or("latencyUs", 0)?;
            let code = code(fields.number("result")?);
            Event::Loaded { function, count, latency, code, worker: fields.text("worker")?.into() }
        }
        other => return Err(format!("an event or flush, not {other:?}")),
    }))
}

fn write_action(out: &mut String, action: &Action) {
    use fmt::Write;
    let written = match action {
        Action::Send { id, worker, until } => {
            writeln!(out, "forward {:016x} {} {worker}", id.0, until.unwrap_or(0))
        }
        Action::Cancel { id, attempt } => writeln!(out, "drop_attempt {:016x} {attempt}", id.0),
        Action::Refuse { id, wait } => writeln!(out, "deny {:016x} {}", id.0, wait.unwrap_or(0)),
        Action::Fail { id } => writeln!(out, "finish_error {:016x}", id.0),
        Action::Timer { after, token } => writeln!(out, "after {after} {token}"),
        Action::Probe { worker } => writeln!(out, "test {worker}"),
        Action::Load { worker, function, count } => writeln!(out, "start_copy {worker} {function} {count}"),
        Action::Drop { worker, function } => writeln!(out, "unmount {worker} {function}"),
        Action::Watch => writeln!(out, "follow 1"),
    };
    written.expect("writing to a string does not fail");
}

/// State of the adapter between lines.
#[derive(Default)]
struct Adapter {
    /// Controllers by the id of their instance.
    controllers: HashMap<String, Controller>,
    /// Lists of workers by number.
    lists: HashMap<u32, Vec<Member>>,
    /// The list being read: its number and the number of entries still expected.
    open_list: Option<(u32, usize)>,
    /// Clock of the current batch, `None` between batches.
    now: Option<u64>,
    /// Instance that the following events are for.
    instance: Option<String>,
    reply: String,
    actions: Vec<Action>,
}

impl Adapter {
    /// Handles one line. Returns `true` when the batch is complete.
    fn line(&mut self, text: &str) -> Result<bool, String> {
        let (name, rest) = text.split_once(' ').unwrap_or((text, ""));
        let field_count = if name == "begin" { 2 } else { 16 };
        let mut fields = Fields { parts: rest.splitn(field_count, ' ') };
        if let Some((list, remaining)) = self.open_list {
            if name != "entry" {
                return Err(format!("{remaining} more entry lines of list {list}"));
            }
            self.lists.entry(list).or_default().push(member(&mut fields)?);
            self.open_list = (remaining > 1).then_some((list, remaining - 1));
            return Ok(false);
        }
        let Some(now) = self.now else {
            if name != "batch" {
                return Err(format!("batch, not {name:?}"));
            }
            self.now = Some(fields.number("the clock")?);
            self.instance = None;
            return Ok(false);
        };
        match name {
            "flush" => {
                self.now = None;
                return Ok(true);
            }
            "list" => {
                let (list, count) = (fields.number("ref")?, fields.number_or("lines", 0)?);
                self.lists.insert(list, Vec::new());
                self.open_list = (count > 0).then_some((list, count));
                return Ok(false);
            }
            "for" => {
                self.instance = Some(fields.text("schedulerId")?.to_owned());
                return Ok(false);
            }
            _ => {}
        }
        let instance = self.instance.clone().ok_or("a for line before the first event")?;
        match name {
            "begin" => {
                let seed = fields.number("initSeed")?;
                let settings = basaltward_platform_settings::parse(fields.text("options")?)
                    .map_err(|e| format!("usable settings in options ({e})"))?;
                let controller = Controller::new(settings.module, seed)
                    .map_err(|e| format!("usable settings in options ({e})"))?;
                self.controllers.insert(instance, controller);
            }
            "down" => {
                self.controllers.remove(&instance);
            }
            _ => {
                if let Some(event) = event(name, &mut fields, &self.lists)? {
                    self.run_event(now, &instance, event)?;
                }
            }
        }
        Ok(false)
    }

    fn run_event(&mut self, now: u64, instance: &str, event: Event) -> Result<(), String> {
        let controller = self.controllers.get_mut(instance).ok_or("a begin for this instance before")?;
        self.actions.clear();
        let (actions, reply) = (&mut self.actions, &mut self.reply);
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| controller.handle(now, event, actions))) {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("no text");
            let text = text.replace(['\n', '\r'], " ");
            reply.push_str(&format!("from {instance}\nbail_out panic: {text}\n"));
            return Ok(());
        }
        if !actions.is_empty() {
            reply.push_str(&format!("from {instance}\n"));
            actions.iter().for_each(|action| write_action(reply, action));
        }
        Ok(())
    }
}

/// Serves batches until the end of the input.
///
/// # Errors
///
/// Returns an error if a line violates the protocol, the input ends within a batch, or reading or writing fails.
pub fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    let (mut bytes, mut line) = (Vec::new(), 0);
    loop {
        bytes.clear();
        let malformed = |line, expected| AdapterError::Malformed { line, expected };
        if input.read_until(b'\n', &mut bytes)? == 0 {
            return match adapter.now {
                None => Ok(()),
                Some(_) => Err(malformed(line + 1, "flush before the end of input".into())),
            };
        }
        line += 1;
        let text = std::str::from_utf8(&bytes).map_err(|_| malformed(line, "UTF-8 text".into()))?;
        let text = text.trim_end_matches(['\n', '\r']);
        if text.is_empty() {
            continue;
        }
        if adapter.line(text).map_err(|expected| malformed(line, expected))? {
            adapter.reply.push_str("ok\n");
            output.write_all(adapter.reply.as_bytes())?;
            output.flush()?;
            adapter.reply.clear();
        }
    }
}

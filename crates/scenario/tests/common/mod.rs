//! Helpers for tests over sockets: settings, a harness, and a plain client that sends the bytes it is given.
#![allow(dead_code, missing_docs, reason = "each test file uses a part of the helpers")]

use basaltward_config::Config;
use basaltward_fakes::WorkerSpec;
use basaltward_http::{Decoded, Limits, Method, Response, ResponseDecoder};
use basaltward_rules::{Breach, Observation, Record, Recorder, check};
use basaltward_scenario::{Harness, rule_settings};
use bytes::BytesMut;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

/// Longer than any wait in a passing test; only a failing test waits this long.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub const CONFIG: &str = r#"<basaltward xmlns="urn:basaltward:config:1">
  <listen address="127.0.0.1:0"/>
  <roster file="roster.xml" check-ms="10"/>
  <kinds><kind name="std" memory-mb="8000"/></kinds>
  <classes>
    <class name="safe" aim-ms="4000" deadline-ms="8000" repeat="safe"/>
    <class name="keyed" aim-ms="4000" deadline-ms="8000" repeat="keyed" window-ms="8000"/>
    <class name="unsafe" aim-ms="4000" deadline-ms="8000" repeat="unsafe"/>
  </classes>
  <functions>
    <function name="view" class="safe" memory-mb="400" lanes="4" load-ms="20"/>
    <function name="note" class="keyed" memory-mb="400" lanes="4" load-ms="20"/>
    <function name="stamp" class="unsafe" memory-mb="400" lanes="4" load-ms="20"/>
  </functions>
  <rules drain-grace-ms="1000"/>
  <limits body-bytes="10000"/>
</basaltward>"#;

pub const FUNCTIONS: [&str; 3] = ["view", "note", "stamp"];

pub fn config() -> Config {
    basaltward_config::read(CONFIG, Path::new("test.xml")).expect("valid settings")
}

/// A worker that loads within a few milliseconds.
pub fn fast_worker() -> WorkerSpec {
    WorkerSpec { fetch_and_start: (10_000, 10_000), default_work: 1_000, cores: 16, ..WorkerSpec::default() }
}

pub fn start_harness(config: &Config, workers: usize) -> Harness {
    Harness::start(config, 1, vec![fast_worker(); workers], Recorder::memory()).expect("harness started")
}

/// A request that carries an event in binary content mode; `extra_fields` are further header lines.
pub fn event_request(function: &str, id: &str, extra_fields: &str, body: &str) -> String {
    format!(
        "POST /functions/{function} HTTP/1.1\r\nHost: h\r\nce-specversion: 1.0\r\nce-id: {id}\r\n\
         ce-source: /clients\r\nce-type: t\r\n{extra_fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A client with one connection.
pub struct Client {
    pub stream: TcpStream,
    input: BytesMut,
    decoder: ResponseDecoder,
}

impl Client {
    pub fn new(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("client connected");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("read timeout set");
        let decoder = ResponseDecoder::new(Limits::default());
        Self { stream, input: BytesMut::new(), decoder }
    }

    pub fn send(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).expect("request sent");
    }

    /// Reads the next answer; `None` if the connection ends first.
    pub fn answer(&mut self) -> Option<Response> {
        let mut bytes = [0; 4096];
        loop {
            match self.decoder.decode(&mut self.input, Method::Post).expect("valid HTTP answer") {
                Decoded::Message(response) => return Some(response),
                _ => match self.stream.read(&mut bytes) {
                    Ok(0) => return None,
                    Ok(read) => self.input.extend_from_slice(&bytes[..read]),
                    Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return None,
                    Err(error) => panic!("answer could not be read: {error}"),
                },
            }
        }
    }
}

/// Sends one event on a new connection and returns the status of its answer, or 0 without an answer.
pub fn status(to: SocketAddr, function: &str, id: &str) -> u16 {
    let mut client = Client::new(to);
    client.send(&event_request(function, id, "", "x"));
    client.answer().map_or(0, |answer| answer.status)
}

/// Number of times that workers ran an event.
pub fn run_count(records: &[Record], id: &str) -> usize {
    let name = format!("/clients#{id}");
    records
        .iter()
        .filter(|r| matches!(&r.observation, Observation::Ran { event, .. } if *event == name))
        .count()
}

/// Waits until an event has begun to run and returns the worker's position.
pub fn wait_running(harness: &Harness, id: &str) -> usize {
    let name = format!("/clients#{id}");
    let mut observer = String::new();
    let found = harness.recorder.wait_until(TEST_TIMEOUT, |records| {
        let ran = records
            .iter()
            .rev()
            .find(|r| matches!(&r.observation, Observation::Ran { event, .. } if *event == name));
        observer = ran.map(|r| r.observer.clone()).unwrap_or_default();
        ran.is_some()
    });
    assert!(found, "event {id} did not run");
    let position = harness.fleet.addresses().iter().position(|a| a.to_string() == observer);
    position.expect("worker belongs to the fleet")
}

/// Waits until the gateway has read this state of a worker from the roster.
pub fn wait_for_roster_state(harness: &Harness, worker: usize, expected: &str) {
    let address = harness.fleet.addresses()[worker].to_string();
    let reported = |r: &Record| matches!(&r.observation, Observation::WorkerState { worker, state } if *worker == address && state == expected);
    assert!(
        harness.recorder.wait_until(TEST_TIMEOUT, |records| records.iter().any(reported)),
        "state {expected} not reported"
    );
}

/// Stops a harness and checks the rules on its records. Plain clients write no records, so only the rules that the
/// records of gateways and workers suffice for are checked.
pub fn judge(harness: Harness) -> (Vec<Record>, Vec<Breach>) {
    let rules = rule_settings(&harness.config, &harness.roster.entries);
    let recorder = harness.recorder.clone();
    harness.stop().expect("harness stopped");
    let records = recorder.take();
    let breaches = check(&records, &rules);
    (records, breaches)
}

//! A bed for tests over sockets, and a plain client that says exactly what it sends.
#![allow(dead_code, missing_docs, reason = "each test uses its part")]

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

/// Longer than anything here takes; only a failed test waits so long.
pub const LONG: Duration = Duration::from_secs(20);

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
    basaltward_config::read(CONFIG, Path::new("test.xml")).expect("good settings")
}

/// A worker that loads within a few milliseconds.
pub fn worker() -> WorkerSpec {
    WorkerSpec { fetch_and_start: (10_000, 10_000), default_work: 1_000, cores: 16, ..WorkerSpec::default() }
}

pub fn bed(config: &Config, workers: usize) -> Harness {
    Harness::start(config, 1, vec![worker(); workers], Recorder::memory()).expect("a bed")
}

/// An event as the bytes of a request.
pub fn event(function: &str, id: &str, more: &str, body: &str) -> String {
    format!(
        "POST /functions/{function} HTTP/1.1\r\nHost: h\r\nce-specversion: 1.0\r\nce-id: {id}\r\n\
         ce-source: /clients\r\nce-type: t\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    input: BytesMut,
    decoder: ResponseDecoder,
}

impl Client {
    pub fn new(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("connected");
        stream.set_read_timeout(Some(LONG)).expect("a timeout");
        let decoder = ResponseDecoder::new(Limits::default());
        Self { stream, input: BytesMut::new(), decoder }
    }

    pub fn send(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).expect("sent");
    }

    /// The next answer, or `None` where the connection ends first.
    pub fn answer(&mut self) -> Option<Response> {
        let mut bytes = [0; 4096];
        loop {
            match self.decoder.decode(&mut self.input, Method::Post).expect("an HTTP answer") {
                Decoded::Message(response) => return Some(response),
                _ => match self.stream.read(&mut bytes) {
                    Ok(0) => return None,
                    Ok(read) => self.input.extend_from_slice(&bytes[..read]),
                    Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return None,
                    Err(error) => panic!("no answer: {error}"),
                },
            }
        }
    }
}

/// Sends one event and waits for its status.
pub fn status(to: SocketAddr, function: &str, id: &str) -> u16 {
    let mut client = Client::new(to);
    client.send(&event(function, id, "", "x"));
    client.answer().map_or(0, |answer| answer.status)
}

/// How often an event has run.
pub fn runs(records: &[Record], id: &str) -> usize {
    let name = format!("/clients#{id}");
    records
        .iter()
        .filter(|r| matches!(&r.observation, Observation::Ran { event, .. } if *event == name))
        .count()
}

/// Waits until an event has begun to run; gives the worker's position.
pub fn wait_running(bed: &Harness, id: &str) -> usize {
    let name = format!("/clients#{id}");
    let mut by = String::new();
    let found = bed.recorder.wait_until(LONG, |records| {
        let ran = records
            .iter()
            .rev()
            .find(|r| matches!(&r.observation, Observation::Ran { event, .. } if *event == name));
        by = ran.map(|r| r.observer.clone()).unwrap_or_default();
        ran.is_some()
    });
    assert!(found, "{id} never ran");
    let position = bed.fleet.addresses().iter().position(|a| a.to_string() == by);
    position.expect("a worker of this fleet")
}

/// Waits until the gateway was told this state of a worker.
pub fn wait_told(bed: &Harness, worker: usize, wanted: &str) {
    let address = bed.fleet.addresses()[worker].to_string();
    let told = |r: &Record| matches!(&r.observation, Observation::WorkerState { worker, state } if *worker == address && state == wanted);
    assert!(bed.recorder.wait_until(LONG, |records| records.iter().any(told)), "never told {wanted}");
}

/// Stops a bed and judges what crossed its sockets. Plain clients leave no records of their own: the rules
/// that gateways and workers show are judged.
pub fn judge(bed: Harness) -> (Vec<Record>, Vec<Breach>) {
    let rules = rule_settings(&bed.config, &bed.roster.entries);
    let recorder = bed.recorder.clone();
    bed.stop().expect("an orderly end");
    let records = recorder.take();
    let breaches = check(&records, &rules);
    (records, breaches)
}

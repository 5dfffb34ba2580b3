//! The program as its users run it.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_basaltward"));
    command.args(arguments).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("basaltward-cli-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&path).expect("a folder");
    path
}

/// The last word of the program's first line, which names an address.
fn address(child: &mut Child) -> String {
    let mut line = String::new();
    let stdout = child.stdout.as_mut().expect("piped");
    BufReader::new(stdout).read_line(&mut line).expect("a line");
    line.split_whitespace().last().expect("an address").to_owned()
}

fn terminate(child: &Child) {
    let pid = rustix::process::Pid::from_raw(child.id() as i32).expect("a process");
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("signalled");
}

/// A worker and a gateway as processes of their own; the settings hold `more` in place of `THREADS`.
fn start(name: &str, threads: u32, worker_options: &[&str]) -> (PathBuf, Child, Child, String) {
    let folder = folder(name);
    let options = [&["worker", "--listen", "127.0.0.1:0"], worker_options].concat();
    let mut worker = program(&options).spawn().expect("started");
    let at = address(&mut worker);
    let roster = format!("<roster xmlns=\"urn:basaltward:roster:1\"><worker address=\"{at}\"/></roster>");
    std::fs::write(folder.join("roster.xml"), roster).expect("written");
    let settings = format!(
        r#"<basaltward xmlns="urn:basaltward:config:1">
  <gateway threads="{threads}"/><listen address="127.0.0.1:0"/><roster file="roster.xml"/>
  <kinds><kind name="std" memory-mb="8000"/></kinds>
  <classes><class name="c" aim-ms="4000" deadline-ms="9000" repeat="unsafe"/></classes>
  <functions><function name="f" class="c" memory-mb="100" lanes="4"/></functions>
  <records file="gateway.jsonl"/>
</basaltward>"#
    );
    std::fs::write(folder.join("gateway.xml"), settings).expect("written");
    let config = folder.join("gateway.xml").display().to_string();
    let mut gateway = program(&["serve", "--config", &config, "--log", "info"]).spawn().expect("started");
    let to = address(&mut gateway);
    (folder, worker, gateway, to)
}

#[test]
fn sigterm_finishes_what_is_in_hand_and_leaves() {
    let (folder, mut worker, mut gateway, to) = start("stop", 1, &["--work-ms", "700"]);
    let mut stream = TcpStream::connect(&to).expect("connected");
    let call = "POST /functions/f HTTP/1.1\r\nHost: h\r\nce-specversion: 1.0\r\nce-id: 1\r\nce-source: s\r\n\
        ce-type: t\r\nContent-Length: 1\r\n\r\nx";
    stream.write_all(call.as_bytes()).expect("sent");
    // In hand once its record is there.
    let records = folder.join("gateway.jsonl");
    let taken = || std::fs::read_to_string(&records).is_ok_and(|text| text.contains("\"taken\""));
    let patience = std::time::Instant::now();
    while !taken() {
        assert!(patience.elapsed().as_secs() < 20, "never taken");
        std::thread::yield_now();
    }
    terminate(&gateway);
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("read to the end");
    assert!(answer.starts_with("HTTP/1.1 200 ") && answer.contains("Connection: close"), "{answer}");
    assert!(gateway.wait().expect("ended").success());
    terminate(&worker);
    assert!(worker.wait().expect("ended").success());
    let config = folder.join("gateway.xml").display().to_string();
    let judged =
        program(&["judge", "--config", &config, &records.display().to_string()]).output().expect("ran");
    assert!(judged.status.success(), "{judged:?}");
    std::fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn several_loops_listen_on_one_port_as_schedulers_of_their_own() {
    let (folder, mut worker, mut gateway, to) = start("loops", 3, &[]);
    for id in 0..60 {
        let called = program(&["call", "--to", &to, "f", "--id", &id.to_string()]).output().expect("ran");
        assert!(called.status.success(), "{called:?}");
    }
    terminate(&gateway);
    assert!(gateway.wait().expect("ended").success());
    terminate(&worker);
    assert!(worker.wait().expect("ended").success());
    let records = std::fs::read_to_string(folder.join("gateway.jsonl")).expect("records");
    let took = |thread: u32| {
        let by = format!("\"by\":\"gateway-0/{thread}\",\"what\":\"taken\"");
        records.matches(&by).count()
    };
    assert_eq!((0..3).map(took).sum::<usize>(), 60);
    assert!((0..3).filter(|t| took(*t) > 0).count() >= 2, "one loop took all");
    std::fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn what_cannot_be_used_is_named_with_its_place() {
    let folder = folder("check");
    let path = folder.join("bad.xml");
    std::fs::write(
        &path,
        "<basaltward xmlns=\"urn:basaltward:config:1\">\n  <listen address=\"here\"/>\n</basaltward>",
    )
    .expect("written");
    let checked = program(&["check", &path.display().to_string()]).output().expect("ran");
    let said = String::from_utf8_lossy(&checked.stderr).into_owned();
    assert_eq!(checked.status.code(), Some(2));
    assert!(said.contains("bad.xml:2:3: ") && said.contains("address"), "{said}");
    for example in ["config/demo.xml", "play/fleet.xml"] {
        let path = format!("{}/../../examples/{example}", env!("CARGO_MANIFEST_DIR"));
        assert!(program(&["check", &path]).status().expect("ran").success(), "{example}");
    }
    std::fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn the_demo_makes_calls_and_ends() {
    let done = program(&["demo", "--calls", "90", "--rate", "300"]).output().expect("ran");
    let said = String::from_utf8_lossy(&done.stdout).into_owned();
    assert!(done.status.success() && said.contains("90 events: 90 served"), "{said}");
}

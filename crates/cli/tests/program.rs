//! The program's subcommands as users run them.
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
    std::fs::create_dir_all(&path).expect("the folder is created");
    path
}

/// Reads the address at the end of the program's first output line.
fn read_address(child: &mut Child) -> String {
    let mut line = String::new();
    let stdout = child.stdout.as_mut().expect("piped");
    BufReader::new(stdout).read_line(&mut line).expect("a first line");
    line.split_whitespace().last().expect("an address").to_owned()
}

fn terminate(child: &Child) {
    let pid = rustix::process::Pid::from_raw(child.id() as i32).expect("a valid pid");
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("the signal is sent");
}

/// Starts a worker and a gateway as processes. Returns their folder, both processes and the gateway's address.
fn start(name: &str, threads: u32, worker_options: &[&str]) -> (PathBuf, Child, Child, String) {
    let folder = folder(name);
    let options = [&["worker", "--listen", "127.0.0.1:0"], worker_options].concat();
    let mut worker = program(&options).spawn().expect("the process starts");
    let at = read_address(&mut worker);
    let roster = format!("<roster xmlns=\"urn:basaltward:roster:1\"><worker address=\"{at}\"/></roster>");
    std::fs::write(folder.join("roster.xml"), roster).expect("the file is written");
    let settings = format!(
        r#"<basaltward xmlns="urn:basaltward:config:1">
  <gateway threads="{threads}"/><listen address="127.0.0.1:0"/><roster file="roster.xml"/>
  <kinds><kind name="std" memory-mb="8000"/></kinds>
  <classes><class name="c" aim-ms="4000" deadline-ms="9000" repeat="unsafe"/></classes>
  <functions><function name="f" class="c" memory-mb="100" lanes="4"/></functions>
  <records file="gateway.jsonl"/>
</basaltward>"#
    );
    std::fs::write(folder.join("gateway.xml"), settings).expect("the file is written");
    let config = folder.join("gateway.xml").display().to_string();
    let mut gateway =
        program(&["serve", "--config", &config, "--log", "info"]).spawn().expect("the process starts");
    let to = read_address(&mut gateway);
    (folder, worker, gateway, to)
}

#[test]
fn sigterm_finishes_calls_in_flight_and_exits() {
    let (folder, mut worker, mut gateway, to) = start("stop", 1, &["--work-ms", "700"]);
    let mut stream = TcpStream::connect(&to).expect("the connection is accepted");
    let call = "POST /functions/f HTTP/1.1\r\nHost: h\r\nce-specversion: 1.0\r\nce-id: 1\r\nce-source: s\r\n\
        ce-type: t\r\nContent-Length: 1\r\n\r\nx";
    stream.write_all(call.as_bytes()).expect("the call is sent");
    // The call is in flight once its record is written.
    let records = folder.join("gateway.jsonl");
    let accepted = || std::fs::read_to_string(&records).is_ok_and(|text| text.contains("\"taken\""));
    let started_at = std::time::Instant::now();
    while !accepted() {
        assert!(started_at.elapsed().as_secs() < 20, "the call is never accepted");
        std::thread::yield_now();
    }
    terminate(&gateway);
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("the connection ends");
    assert!(response.starts_with("HTTP/1.1 200 ") && response.contains("Connection: close"), "{response}");
    assert!(gateway.wait().expect("it exits").success());
    terminate(&worker);
    assert!(worker.wait().expect("it exits").success());
    let config = folder.join("gateway.xml").display().to_string();
    let judged = program(&["judge", "--config", &config, &records.display().to_string()])
        .output()
        .expect("the program runs");
    assert!(judged.status.success(), "{judged:?}");
    std::fs::remove_dir_all(folder).expect("the folder is removed");
}

#[test]
fn several_loops_listen_on_one_port_as_separate_schedulers() {
    let (folder, mut worker, mut gateway, to) = start("loops", 3, &[]);
    for id in 0..60 {
        let called =
            program(&["call", "--to", &to, "f", "--id", &id.to_string()]).output().expect("the program runs");
        assert!(called.status.success(), "{called:?}");
    }
    terminate(&gateway);
    assert!(gateway.wait().expect("it exits").success());
    terminate(&worker);
    assert!(worker.wait().expect("it exits").success());
    let records = std::fs::read_to_string(folder.join("gateway.jsonl")).expect("the records are readable");
    let accepted_by = |thread: u32| {
        let by = format!("\"by\":\"gateway-0/{thread}\",\"what\":\"taken\"");
        records.matches(&by).count()
    };
    assert_eq!((0..3).map(accepted_by).sum::<usize>(), 60);
    assert!((0..3).filter(|thread| accepted_by(*thread) > 0).count() >= 2, "one loop accepted all calls");
    std::fs::remove_dir_all(folder).expect("the folder is removed");
}

#[test]
fn invalid_settings_are_reported_with_line_and_column() {
    let folder = folder("check");
    let path = folder.join("bad.xml");
    std::fs::write(
        &path,
        "<basaltward xmlns=\"urn:basaltward:config:1\">\n  <listen address=\"here\"/>\n</basaltward>",
    )
    .expect("the file is written");
    let checked = program(&["check", &path.display().to_string()]).output().expect("the program runs");
    let stderr = String::from_utf8_lossy(&checked.stderr).into_owned();
    assert_eq!(checked.status.code(), Some(2));
    assert!(stderr.contains("bad.xml:2:3: ") && stderr.contains("address"), "{stderr}");
    for example in ["config/demo.xml", "play/fleet.xml"] {
        let path = format!("{}/../../examples/{example}", env!("CARGO_MANIFEST_DIR"));
        assert!(program(&["check", &path]).status().expect("the program runs").success(), "{example}");
    }
    std::fs::remove_dir_all(folder).expect("the folder is removed");
}

#[test]
fn demo_makes_the_requested_calls_and_exits() {
    let output = program(&["demo", "--calls", "90", "--rate", "300"]).output().expect("the program runs");
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success() && stdout.contains("90 events: 90 served"), "{stdout}");
}

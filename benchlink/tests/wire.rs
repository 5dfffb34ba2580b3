//! The line protocol in both directions, and the errors for malformed input.
use std::io::Write;
use std::process::{Command, Output, Stdio};

const OPTIONS: &str = r#"{"discovery":"push","extra":{"later":1},"familyInfo":{"loadControl":true,"machineMb":[4000.0],"missMode":"miss","orderLimitUs":10000000,"staysLoadedUs":9000000},"limits":{"cancel":true,"probes":true,"secondCopies":true,"sendCap":3},"replicasOfMe":2,"report":{"names":["outstanding"],"source":"answers"},"requestClasses":[{"deadlineUs":2000000,"onTimeUs":500000,"repeat":"safe"}],"roundUs":1000,"rules":{"answerSlackUs":8000,"coldFrom":0.2,"fallUs":1500000,"tipMultiple":4.0,"warmWithinUs":16000000},"zone":0}"#;

fn serve(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_basaltward-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("piped").write_all(input.as_bytes()).expect("the adapter reads");
    child.wait_with_output().expect("the adapter ends")
}

fn begin() -> String {
    format!(
        "batch 1000\nfor scheduler_0\nbegin 7 {OPTIONS}\nlist 3 1\nentry 0 10.0.0.1:7000 - active 1 0 0\n\
         membership 3 1 stale_copy\nflush\n"
    )
}

#[test]
fn a_request_is_queried_sent_and_served() {
    let served = serve(&format!(
        "{}batch 2000\nfor scheduler_0\nrequest e86a19a15d3a91c4 0 1 0 900 240000 384 2 h:f 12000\nflush\n\
         batch 4000\nfor scheduler_0\nwarmed h:f 1 2000 200 10.0.0.1:7000\nflush\n\
         batch 9000\nfor scheduler_0\nverdict e86a19a15d3a91c4 10.0.0.1:7000 200 5000 1 17 0 3\nflush\nbatch 9100\nflush\n",
        begin()
    ));
    assert!(served.status.success());
    let text = String::from_utf8(served.stdout).expect("text");
    assert_eq!(text.lines().filter(|l| *l == "ok").count(), 5);
    assert!(text.contains("start_copy 10.0.0.1:7000 h:f 0\n"), "{text}");
    assert!(text.contains("from scheduler_0\nforward e86a19a15d3a91c4 0 10.0.0.1:7000\n"), "{text}");
}

#[test]
fn instances_are_independent_and_a_stopped_one_is_removed() {
    let two_instances = begin().replace("flush\n", "")
        + &begin().replace("batch 1000\n", "").replace("scheduler_0", "scheduler_1");
    let served = serve(&format!(
        "{two_instances}batch 2000\nfor scheduler_0\ndown\nfor scheduler_1\nrequest 00000000000000aa 0 0 0 - 240000 384 2 h:f -\nflush\n"
    ));
    assert!(served.status.success());
    let text = String::from_utf8(served.stdout).expect("text");
    let last = text.split("ok\n").nth(1).expect("two replies");
    assert!(last.starts_with("from scheduler_1\n") && !last.contains("scheduler_0"), "{last}");
}

#[test]
fn malformed_input_reports_its_line_number_and_fails() {
    for (input, line, expected) in [
        ("hello\n".to_string(), 1, "batch"),
        ("batch soon\n".to_string(), 1, "a number for the clock"),
        (
            format!("{}batch 2000\nfor scheduler_0\nrequest zz 0 0 0 - 1 1 1 f -\n", begin()),
            10,
            "16 hex digits",
        ),
        (
            format!("{}batch 2000\nfor scheduler_0\nmembership 9 2 whole\n", begin()),
            10,
            "the number of a list",
        ),
        (format!("{}batch 2000\nfor scheduler_9\nwake 5\n", begin()), 10, "a begin for this instance"),
        (format!("{}batch 2000\nwake 5\n", begin()), 9, "a for line"),
        (begin() + "batch 2000\n", 9, "flush before the end of input"),
        (begin().replace("\"safe\"", "\"maybe\""), 3, "usable settings"),
        (begin().replace("4000.0", "-1"), 3, "usable settings"),
    ] {
        let served = serve(&input);
        let message = String::from_utf8(served.stderr).expect("text");
        assert_eq!(served.status.code(), Some(1), "{input}");
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(message.contains(&format!("line {line}: ")) && message.contains(expected), "{message}");
    }
}

#[test]
fn end_of_input_between_batches_is_no_error() {
    assert!(serve("").status.success());
    assert!(serve(&begin()).status.success());
}

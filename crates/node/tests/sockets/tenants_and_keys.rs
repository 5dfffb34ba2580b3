//! Optional settings of other deployments: tenants with quotas, and keyed classes, whose workers discard repeats by a
//! key.

use crate::common::*;
use basaltward_fakes::{ExecRequest, ThriftClient, ThriftReply, WorkerAction, answer_line};
use std::sync::{Arc, Mutex, mpsc};

const FUNCTION: &str = "7f3a9c21e0b4d655";
const KEY: &str = "2bf9a7ea4959cf4306804a1dd2a13b79";

/// Two tenants, the first with a quota of one call per second, and a keyed class.
fn settings(text: String) -> String {
    let tenants = r#""projects":[{"name":"north","quotaPerS":1.0},{"name":"south","quotaPerS":1000.0}],"#;
    let keyed = r#""requestClasses":[{"name":"deed","deadlineUs":8000000,"onTimeUs":2000000,"repeat":"keyed","group":"all","windowUs":3000000},"#;
    text.replace("\"requestClasses\":[", &format!("{tenants}{keyed}"))
}

/// Sends a call with these additional fields.
fn send_call(client: &mut ThriftClient, number: u64, class: &str, more: &[(&str, &str)]) {
    let id = format!("{number:016x}");
    let props = "memory_mb:64;lanes:8;load_ms:20";
    let mut fields =
        vec![("kind", class), ("req", &id), ("timeout", "2000"), ("subject", FUNCTION), ("props", props)];
    fields.extend(more);
    client.submit(&fields, b"abc").expect("bytes sent");
}

/// Sends a call and returns its reply.
fn call_for_reply(client: &mut ThriftClient, number: u64, class: &str, more: &[(&str, &str)]) -> ThriftReply {
    send_call(client, number, class, more);
    client.read().expect("read").expect("a reply before the connection closes").1
}

fn served() -> ThriftReply {
    ThriftReply::Served(b"cba".to_vec())
}

#[test]
fn each_attempt_of_a_keyed_call_carries_its_key() {
    let seen: Arc<Mutex<Vec<String>>> = Arc::default();
    let worker_seen = seen.clone();
    // The first attempt breaks after it has run; the class allows another within its window.
    let script = move |_: usize, exec: &ExecRequest| {
        let mut seen = worker_seen.lock().expect("lock not poisoned");
        seen.push(exec.fields.clone());
        if seen.len() == 1 { vec![WorkerAction::Reset] } else { exec.serve() }
    };
    let mut harness = Harness::with_config(Limits::default(), 2, settings, script);
    let mut client = harness.client();
    assert_eq!(call_for_reply(&mut client, 1, "deed", &[("owner", "north"), ("opkey", KEY)]), served());
    let seen = std::mem::take(&mut *seen.lock().expect("lock not poisoned"));
    assert_eq!(seen.len(), 2, "{seen:?}");
    assert!(seen.iter().all(|fields| fields.split(',').any(|f| f == format!("uniq={KEY}"))), "{seen:?}");
    harness.finish();
}

#[test]
fn invalid_keys_and_unknown_tenants_are_rejected_and_reach_no_worker() {
    let script = |_: usize, exec: &ExecRequest| exec.serve();
    let mut harness = Harness::with_config(Limits::default(), 1, settings, script);
    let long = "k".repeat(65);
    let cases: [(&str, &[(&str, &str)]); 8] = [
        ("deed", &[("owner", "north")]),
        ("deed", &[("owner", "north"), ("opkey", "")]),
        ("deed", &[("owner", "north"), ("opkey", "a b")]),
        ("deed", &[("owner", "north"), ("opkey", "a,path=0000000000000000")]),
        ("deed", &[("owner", "north"), ("opkey", "a\r\ndrop 1")]),
        ("deed", &[("owner", "north"), ("opkey", &long)]),
        ("view", &[("owner", "nobody")]),
        ("view", &[]),
    ];
    for (number, (class, more)) in cases.into_iter().enumerate() {
        // Each case has its own connection: one that sends many invalid requests is closed.
        let reply = call_for_reply(&mut harness.client(), number as u64 + 1, class, more);
        assert!(matches!(reply, ThriftReply::Rejected(_)), "{number}: {reply:?}");
    }
    let sent = harness.workers[0].received_lines();
    assert!(!sent.iter().any(|line| line.starts_with("exec")), "{sent:?}");
    assert_eq!(call_for_reply(&mut harness.client(), 99, "view", &[("owner", "south")]), served());
    harness.finish();
}

#[test]
fn a_tenant_within_its_quota_is_served_while_another_far_exceeds_its_own() {
    let (rejected, rejections) = mpsc::channel();
    let script = move |_: usize, exec: &ExecRequest| match exec.id.as_str() {
        // Workers reject all calls of the first tenant for lack of capacity.
        id if id < "0000000000000100" => {
            let _ = rejected.send(());
            vec![WorkerAction::Write(answer_line(id, "BUSY", "company=8", b""))]
        }
        _ => exec.serve(),
    };
    let mut harness = Harness::with_config(Limits::default(), 4, settings, script);
    let mut north = harness.client();
    (1..=20).for_each(|number| send_call(&mut north, number, "view", &[("owner", "north")]));
    // Enough rejections for the scheduler to consider the fleet overloaded.
    (0..8).for_each(|_| rejections.recv_timeout(TEST_TIMEOUT).expect("call reached a worker"));
    let mut south = harness.client();
    let south: Vec<_> =
        (0..20).map(|n| call_for_reply(&mut south, 0x100 + n, "view", &[("owner", "south")])).collect();
    assert!(south.contains(&served()), "{south:?}");
    harness.finish();
}

//! What other deployments' settings bring: tenants with quotas, and classes whose workers discard repeats by a key.

use crate::common::*;
use basaltward_standins::{Act, Exec, FrontClient, FrontReply, answer};
use std::sync::{Arc, Mutex, mpsc};

const FUNCTION: &str = "7f3a9c21e0b4d655";
const KEY: &str = "2bf9a7ea4959cf4306804a1dd2a13b79";

/// Two tenants, the first with a quota of one call a second, and a keyed class.
fn settings(text: String) -> String {
    let tenants = r#""projects":[{"name":"north","quotaPerS":1.0},{"name":"south","quotaPerS":1000.0}],"#;
    let keyed = r#""requestClasses":[{"name":"deed","deadlineUs":8000000,"onTimeUs":2000000,"repeat":"keyed","group":"all","windowUs":3000000},"#;
    text.replace("\"requestClasses\":[", &format!("{tenants}{keyed}"))
}

/// Sends a call with these further fields.
fn ask(client: &mut FrontClient, number: u64, class: &str, more: &[(&str, &str)]) {
    let id = format!("{number:016x}");
    let props = "memory_mb:64;lanes:8;load_ms:20";
    let mut fields =
        vec![("kind", class), ("req", &id), ("timeout", "2000"), ("subject", FUNCTION), ("props", props)];
    fields.extend(more);
    client.submit(&fields, b"abc").expect("sent");
}

/// The same; gives its answer.
fn told(client: &mut FrontClient, number: u64, class: &str, more: &[(&str, &str)]) -> FrontReply {
    ask(client, number, class, more);
    client.read().expect("read").expect("an answer").1
}

fn served() -> FrontReply {
    FrontReply::Served(b"cba".to_vec())
}

#[test]
fn a_keyed_call_has_its_key_at_each_worker_that_it_is_sent_to() {
    let seen: Arc<Mutex<Vec<String>>> = Arc::default();
    let kept = seen.clone();
    // The first attempt breaks after it has run; the class allows another within its window.
    let script = move |_: usize, exec: &Exec| {
        let mut seen = kept.lock().expect("whole");
        seen.push(exec.fields.clone());
        if seen.len() == 1 { vec![Act::Reset] } else { exec.serve() }
    };
    let mut harness = Harness::with_config(Limits::default(), 2, settings, script);
    let mut client = harness.client();
    assert_eq!(told(&mut client, 1, "deed", &[("owner", "north"), ("opkey", KEY)]), served());
    let seen = std::mem::take(&mut *seen.lock().expect("whole"));
    assert_eq!(seen.len(), 2, "{seen:?}");
    assert!(seen.iter().all(|fields| fields.split(',').any(|f| f == format!("uniq={KEY}"))), "{seen:?}");
    harness.finish();
}

#[test]
fn keys_and_tenants_that_cannot_be_used_are_refused_and_reach_no_worker() {
    let script = |_: usize, exec: &Exec| exec.serve();
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
        // A connection of its own: one that sends many of these is ended.
        let told = told(&mut harness.client(), number as u64 + 1, class, more);
        assert!(matches!(told, FrontReply::Rejected(_)), "{number}: {told:?}");
    }
    let sent = harness.workers[0].lines();
    assert!(!sent.iter().any(|line| line.starts_with("exec")), "{sent:?}");
    assert_eq!(told(&mut harness.client(), 99, "view", &[("owner", "south")]), served());
    harness.finish();
}

#[test]
fn a_tenant_within_its_quota_is_served_beside_one_far_past_its_own() {
    let (full, fulls) = mpsc::channel();
    let script = move |_: usize, exec: &Exec| match exec.id.as_str() {
        // Those of the first tenant find no room anywhere.
        id if id < "0000000000000100" => {
            let _ = full.send(());
            vec![Act::Write(answer(id, "BUSY", "company=8", b""))]
        }
        _ => exec.serve(),
    };
    let mut harness = Harness::with_config(Limits::default(), 4, settings, script);
    let mut north = harness.client();
    (1..=20).for_each(|number| ask(&mut north, number, "view", &[("owner", "north")]));
    // Enough for the scheduler to take the fleet for jammed.
    (0..8).for_each(|_| fulls.recv_timeout(TEST_TIMEOUT).expect("it is sent on"));
    let mut south = harness.client();
    let south: Vec<_> = (0..20).map(|n| told(&mut south, 0x100 + n, "view", &[("owner", "south")])).collect();
    assert!(south.contains(&served()), "{south:?}");
    harness.finish();
}

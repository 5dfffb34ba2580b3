//! Three schedulers with permits. A new worker is listed while one scheduler's discovery is down; the worker is drained
//! by permit; then that scheduler reads of the worker.

use crate::Verdict;
use crate::platform::{Fleet, LineWorker, event, target};
use crate::util::{Record, sleep_ms};
use std::io::Error;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Grace of the settings, the slack of each time limit, and time for the machine.
const GRACE_MS: u64 = 1_000 + 50 + 500;

pub fn run(record: &Record, program: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let fleet = Fleet::start(record, program, 3, 4)?;
    let served = Arc::new(AtomicU64::new(0));
    for i in 0..3 {
        fleet.call_all_the_time(i, 20, &served);
    }
    // The fleet learns for up to 20 s what is out before it permits anything.
    let mut ready = false;
    for _ in 0..80 {
        let (code, text) = fleet.command(&["drain", "w0", "--dry-run"], 0);
        ready = code == 0 && text.contains("might go now");
        if ready {
            break;
        }
        sleep_ms(500);
    }
    if !ready {
        return Err(Error::other("the fleet permits nothing"));
    }
    let (_, status) = fleet.command(&["status"], 0);
    record.line(&format!("status: {status}"));
    // A scheduler that is not the leader, which has to know the worker that it permits to drain.
    let leader =
        (0..3).find(|i| status.contains(&format!("leader n{i}"))).ok_or(Error::other("no leader"))?;
    let (late, asked) = ((leader + 1) % 3, leader);
    if trouble {
        record.line(&format!("discovery of n{late} goes down"));
        fleet.bulletin.set_down(late, true);
        sleep_ms(500);
    }
    let new = LineWorker::start(record, "w9", 20, true)?;
    let boot =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_millis());
    record.line("w9 is listed as Ready");
    fleet.bulletin.tell(|number| event(number, false, &[target(&new, "Ready", boot as u64)]));
    sleep_ms(2_500);
    let (code, text) = fleet.command(&["drain", "w9", "--wait", "2"], asked);
    let drained_at = record.ms();
    record.line(&format!("fleet drain w9 of n{asked}: exit code {code}: {text}"));
    if !text.contains("w9: drained") {
        return Err(Error::other("the drain was not permitted"));
    }
    // Each scheduler shows the permit: it has been told.
    let tells = |i: &usize| fleet.command(&["status"], *i).1.contains("permit 1: Worker");
    for _ in 0..20 {
        if (0..3).all(|i| tells(&i)) {
            break;
        }
        sleep_ms(200);
    }
    if !(0..3).all(|i| tells(&i)) {
        return Err(Error::other("a scheduler has not heard of the permit"));
    }
    for i in 0..3 {
        record.line(&format!("n{i}: {}", fleet.command(&["status"], i).1));
    }
    let told_at = record.ms();
    if trouble {
        sleep_ms(2_000);
        record.line(&format!("discovery of n{late} is back"));
        fleet.bulletin.set_down(late, false);
    }
    sleep_ms(20_000);
    let begun = new.begun.lock().map(|b| b.clone()).unwrap_or_default();
    let before = begun.iter().filter(|(at, _)| *at <= drained_at).count();
    let after: Vec<_> = begun.iter().filter(|(at, _)| *at > told_at.max(drained_at) + GRACE_MS).collect();
    for i in 0..3 {
        let of = format!("{i:02x}");
        let count = after.iter().filter(|(_, id)| id.starts_with(&of)).count();
        record.line(&format!("calls begun at w9 by n{i} later than the grace: {count}"));
    }
    for (at, id) in after.iter().take(5) {
        record.line(&format!("call {id} began at w9 at {at} ms"));
    }
    let (_, status) = fleet.command(&["status"], late);
    record.line(&format!("n{late} at the end: {status}"));
    record.line(&format!(
        "{} calls served, {before} calls at w9 before its drain",
        served.load(Ordering::Relaxed)
    ));
    if served.load(Ordering::Relaxed) < 100 {
        return Err(Error::other("hardly any call was served"));
    }
    Ok(match after.len() {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("{count} calls began at a drained worker, later than the grace")),
    })
}

//! System calls that fail briefly on the scheduler's own machine are not held against a worker and fail no call.

use crate::common::*;
use basaltward_fakes::{ExecRequest, ThriftReply};
use basaltward_net::{Errno, Micros, SystemCall, monotonic};
use basaltward_rules::Observation;

/// Upper bound on the delay that the failures add to a call, also on a loaded machine: soon after it a worker would
/// be considered gone.
const MAX_DELAY: Micros = 500_000;

#[test]
fn transient_local_connect_errors_fail_no_call_and_exclude_no_worker() {
    for error in [Errno::ADDRNOTAVAIL, Errno::NETUNREACH, Errno::INTR, Errno::AGAIN] {
        let plant = |node: &mut basaltward_node::Node| {
            node.inject_system_call_failures(SystemCall::Connect, error, 12)
        };
        let mut harness =
            Harness::with_failures(Limits::default(), 1, plant, |_, exec: &ExecRequest| exec.serve());
        for (number, class) in [(1, "extract"), (2, "view")] {
            let one = call(number, class);
            let began = monotonic();
            let reply = harness.call(&one);
            assert!(matches!(reply, ThriftReply::Served(_)), "{error:?}: {reply:?}");
            let elapsed = monotonic() - began;
            assert!(elapsed < MAX_DELAY, "{error:?}: served after {elapsed} us");
        }
        let records = harness.finish();
        let failed = records
            .iter()
            .filter(|r| matches!(&r.observation, Observation::Ended { code, .. } if code != "Ok"));
        assert_eq!(failed.count(), 0, "{error:?}");
    }
}

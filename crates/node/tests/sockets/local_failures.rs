//! System calls of the scheduler's own machine that fail for a moment are no fault of a worker, and cost no call.

use crate::common::*;
use basaltward_net::{Errno, Micros, SystemCall, monotonic};
use basaltward_rules::Observation;
use basaltward_standins::{Exec, FrontReply};

/// What the failures may cost a call, on a loaded machine too: before long a worker would be taken for gone.
const MOMENT: Micros = 500_000;

#[test]
fn connections_that_this_machine_refuses_for_a_moment_cost_no_call_and_no_worker() {
    for error in [Errno::ADDRNOTAVAIL, Errno::NETUNREACH, Errno::INTR, Errno::AGAIN] {
        let plant = |node: &mut basaltward_node::Node| {
            node.inject_system_call_failures(SystemCall::Connect, error, 12)
        };
        let mut bed = Bed::planted(Limits::default(), 1, plant, |_, exec: &Exec| exec.serve());
        for (number, class) in [(1, "extract"), (2, "view")] {
            let one = call(number, class);
            let began = monotonic();
            let told = bed.call(&one);
            assert!(matches!(told, FrontReply::Served(_)), "{error:?}: {told:?}");
            let took = monotonic() - began;
            assert!(took < MOMENT, "{error:?}: served after {took} us");
        }
        let records = bed.finish();
        let failed = records
            .iter()
            .filter(|r| matches!(&r.observation, Observation::Ended { code, .. } if code != "Ok"));
        assert_eq!(failed.count(), 0, "{error:?}");
    }
}

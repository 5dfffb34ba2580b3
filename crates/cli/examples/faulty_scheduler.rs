//! A scheduler with faults planted: whatever it hears last of another it believes, the word of an earlier life too; and
//! as leader it counts what it sees to be out, not what it has permitted. Trials run it in place of the program, and
//! the judge has to find it.
//!
//! Started as `basaltward ... node --records FILE` is, with `NODE_CONFIG`.
use basaltward_node::Node;
use basaltward_permits::Fault;
use basaltward_rules::Recorder;
use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    tracing_subscriber::fmt().with_writer(std::io::stderr).init();
    let config = std::env::var_os("NODE_CONFIG").ok_or("NODE_CONFIG is not set")?;
    let records = std::env::args_os().next_back().ok_or("no file for records")?;
    let (recorder, writer) = Recorder::file(Path::new(&records))?;
    let mut node = Node::new(config.into(), None, recorder.clone())?;
    node.inject_view_fault(|entry, incarnation, state| {
        (entry.incarnation, entry.state) != (incarnation, state)
    });
    node.inject_permit_fault(Fault::IgnoresPermits);
    node.handle_signals()?;
    node.run()?;
    drop(recorder);
    writer.join().map_err(|_| "the writer of records has panicked")??;
    Ok(())
}

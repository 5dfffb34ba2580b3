//! A scheduler with two injected faults. Its membership view applies whatever it received last about a peer, reports of
//! an earlier incarnation included; and as leader it counts the subjects that it observes as out, but not those that it
//! has granted permits to. Trials run it in place of the program, and their checker has to find the faults.
//!
//! Started like `basaltward ... node --records FILE`, with `NODE_CONFIG`: the last argument names the record file.
use basaltward_node::Node;
use basaltward_permits::Fault;
use basaltward_rules::Recorder;
use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    tracing_subscriber::fmt().with_writer(std::io::stderr).init();
    let config = std::env::var_os("NODE_CONFIG").ok_or("NODE_CONFIG is not set")?;
    let records = std::env::args_os().next_back().ok_or("no record file given")?;
    let (recorder, writer) = Recorder::file(Path::new(&records))?;
    let mut node = Node::new(config.into(), None, recorder.clone())?;
    node.inject_view_fault(|entry, incarnation, state| {
        (entry.incarnation, entry.state) != (incarnation, state)
    });
    node.inject_permit_fault(Fault::IgnoresPermits);
    node.handle_signals()?;
    node.run()?;
    drop(recorder);
    writer.join().map_err(|_| "the record writer thread panicked")??;
    Ok(())
}

use crate::Failed;
use crate::args::Node as Options;
use crate::records::Records;
use basaltward_node::{Node, NodeError};
use std::net::SocketAddr;
use std::time::Duration;

/// What the system refuses at the start is asked for again after this, so many times: within the 10 s in which a
/// restarted scheduler has to be ready.
const AGAIN: Duration = Duration::from_millis(50);
const TRIES: u32 = 100;

/// Opens a scheduler, though the system refuses it for a moment.
fn patiently(open: impl Fn() -> Result<Node, NodeError>) -> Result<Node, NodeError> {
    for _ in 1..TRIES {
        match open() {
            Err(NodeError::Net(error)) => tracing::warn!(%error, "not started yet"),
            told => return told,
        }
        std::thread::sleep(AGAIN);
    }
    open()
}

/// Runs as the live scheduler of a platform until SIGTERM.
pub fn run(options: &Options) -> Result<(), Failed> {
    let path = options.config.clone().or_else(|| std::env::var_os("NODE_CONFIG").map(Into::into));
    let path = path.ok_or_else(|| Failed::Input("NODE_CONFIG is not set and --config not given".into()))?;
    let listen = std::env::var("NODE_LISTEN").ok().map(|text| text.parse::<SocketAddr>());
    let listen = listen.transpose().map_err(|_| Failed::Input("NODE_LISTEN is not an address".into()))?;
    let records = Records::open(options.records.as_deref())?;
    let open = || Node::new_with_view(path.clone(), listen, records.recorder.clone(), options.view);
    let mut node = patiently(open).map_err(|error| match error {
        NodeError::Net(error) => Failed::Run(error.to_string()),
        error => Failed::Input(error.to_string()),
    })?;
    node.handle_signals()?;
    node.run()?;
    records.close()
}

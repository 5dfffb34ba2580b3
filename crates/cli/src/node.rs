//! `node`: the live scheduler of a platform.

use crate::CommandError;
use crate::args::Node as Options;
use crate::records::Records;
use basaltward_node::{Node, NodeError};
use std::net::SocketAddr;
use std::time::Duration;

/// Wait between attempts to start while the system refuses a socket.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Attempts to start. All of them fit into the 10 s within which a restarted scheduler has to be ready.
const START_ATTEMPTS: u32 = 100;

/// Opens a scheduler, with retries while the system refuses a socket, for example an address still in use.
fn open_with_retries(open: impl Fn() -> Result<Node, NodeError>) -> Result<Node, NodeError> {
    for _ in 1..START_ATTEMPTS {
        match open() {
            Err(NodeError::Net(error)) => {
                tracing::warn!(%error, "the scheduler could not open its sockets; retrying")
            }
            result => return result,
        }
        std::thread::sleep(START_RETRY_INTERVAL);
    }
    open()
}

/// Runs as the live scheduler of a platform until SIGTERM.
pub fn run(options: &Options) -> Result<(), CommandError> {
    let path = options.config.clone().or_else(|| std::env::var_os("NODE_CONFIG").map(Into::into));
    let path =
        path.ok_or_else(|| CommandError::Input("NODE_CONFIG is not set and --config was not given".into()))?;
    let listen = std::env::var("NODE_LISTEN").ok().map(|text| text.parse::<SocketAddr>());
    let listen =
        listen.transpose().map_err(|_| CommandError::Input("NODE_LISTEN is not a socket address".into()))?;
    let records = Records::open(options.records.as_deref())?;
    let open = || Node::new_with_view(path.clone(), listen, records.recorder.clone(), options.view);
    let mut node = open_with_retries(open).map_err(|error| match error {
        NodeError::Net(error) => CommandError::Run(error.to_string()),
        error => CommandError::Input(error.to_string()),
    })?;
    node.handle_signals()?;
    node.run()?;
    records.close()
}

use crate::Failed;
use crate::args::Node as Options;
use crate::records::Records;
use basaltward_node::{Node, NodeError};
use std::net::SocketAddr;

/// Runs as the live scheduler of a platform until SIGTERM.
pub fn run(options: &Options) -> Result<(), Failed> {
    let path = options.config.clone().or_else(|| std::env::var_os("NODE_CONFIG").map(Into::into));
    let path = path.ok_or_else(|| Failed::Input("NODE_CONFIG is not set and --config not given".into()))?;
    let listen = std::env::var("NODE_LISTEN").ok().map(|text| text.parse::<SocketAddr>());
    let listen = listen.transpose().map_err(|_| Failed::Input("NODE_LISTEN is not an address".into()))?;
    let records = Records::open(options.records.as_deref())?;
    let mut node =
        Node::new_as(path, listen, records.recorder.clone(), options.view).map_err(|error| match error {
            NodeError::Net(error) => Failed::Run(error.to_string()),
            error => Failed::Input(error.to_string()),
        })?;
    node.take_signals()?;
    node.run()?;
    records.close()
}

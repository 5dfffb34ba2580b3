//! Restarts, kills and stalls of the scheduler process while clients use it.
#[path = "../../../node/tests/sockets/common.rs"]
#[allow(dead_code)]
mod common;
mod killed;
#[path = "../process/mod.rs"]
mod process;
mod ready;
mod restarts;

//! What crosses in the life of the program: restarts, kills and stalls under clients.
#[path = "../../../node/tests/sockets/common.rs"]
#[allow(dead_code)]
mod common;
mod killed;
#[path = "../process/mod.rs"]
mod process;
mod ready;
mod restarts;

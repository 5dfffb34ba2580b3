//! The live scheduler on loopback, between stand-ins of its platform.
mod answers;
mod clients;
mod common;
mod fleet;
mod late;
mod restart;
mod untold;
mod words;

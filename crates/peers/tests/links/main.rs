//! Tests of peers over loopback sockets, on a simulated clock: timeouts of seconds take no real time.
mod connections;
mod faulty_peers;
mod network;
mod random_faults;
mod relay;

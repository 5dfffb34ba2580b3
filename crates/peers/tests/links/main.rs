//! Peers over sockets of the loopback, on clocks of the test's own: what takes seconds there takes none here.
mod connections;
mod faulty_peers;
mod network;
mod random_faults;
mod relay;

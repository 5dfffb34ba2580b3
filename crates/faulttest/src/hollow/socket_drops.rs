//! Datagrams that the kernel dropped at sockets, read from `/proc/net/udp`.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Parses `/proc/net/udp`: drop counts of the IPv4 UDP sockets bound to `host`, by the socket's inode. Lines that
/// cannot be parsed are skipped.
pub fn socket_drops(host: Ipv4Addr, table: &str) -> BTreeMap<u64, u64> {
    let local = format!("{:08X}:", u32::from_le_bytes(host.octets()));
    let parse = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let at = fields.get(1)?;
        let inode = fields.get(9)?.parse().ok()?;
        let drops = fields.get(12)?.parse().ok()?;
        at.starts_with(&local).then_some((inode, drops))
    };
    table.lines().filter_map(parse).collect()
}

/// Merges the counts of a table into `largest`, keeping the largest count of each socket, and returns the sum over all
/// sockets seen so far, closed ones included.
pub fn total_drops(largest: &mut BTreeMap<u64, u64>, current: BTreeMap<u64, u64>) -> u64 {
    for (inode, drops) in current {
        let count = largest.entry(inode).or_default();
        *count = drops.max(*count);
    }
    largest.values().sum()
}

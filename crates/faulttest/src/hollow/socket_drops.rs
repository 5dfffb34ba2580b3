//! Datagrams that the system dropped at sockets, from its table of them.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Drops of each IPv4 socket of datagrams at this host, by the socket's inode, from the text of `/proc/net/udp`. Lines
/// that can't be read are left out.
pub fn socket_drops(host: Ipv4Addr, table: &str) -> BTreeMap<u64, u64> {
    let local = format!("{:08X}:", u32::from_le_bytes(host.octets()));
    let read = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let at = fields.get(1)?;
        let inode = fields.get(9)?.parse().ok()?;
        let drops = fields.get(12)?.parse().ok()?;
        at.starts_with(&local).then_some((inode, drops))
    };
    table.lines().filter_map(read).collect()
}

/// Adds the drops that a table shows to those known, each socket's largest count; gives the sum over all sockets seen.
pub fn total_drops(known: &mut BTreeMap<u64, u64>, seen: BTreeMap<u64, u64>) -> u64 {
    for (inode, drops) in seen {
        let most = known.entry(inode).or_default();
        *most = drops.max(*most);
    }
    known.values().sum()
}

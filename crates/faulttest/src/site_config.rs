//! Writes the settings file and the roster of each gateway of a cluster of sites.

use crate::site_spec::{CLASSES, COPY_MB, LANES, SitesSpec};
use crate::workspace::Workspace;
use basaltward::WorkerState;
use basaltward_roster::{Entry, Names, write};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Deadline of every class, and the maximum patience of a client.
pub(crate) const DEADLINE_MS: u64 = 10_000;
/// How long workers drop a repeated keyed event.
const REPEAT_WINDOW_MS: u64 = 12_000;

/// Addresses by which another gateway reaches a gateway, or on which that gateway itself listens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GatewayAddresses {
    pub datagrams: SocketAddr,
    pub front: SocketAddr,
    pub journal: SocketAddr,
}

/// Number of a worker and the relay address by which one gateway reaches it.
pub(crate) type Worker = (usize, SocketAddr);

/// Writes settings and roster of gateway `own`; returns the path of its settings.
pub(crate) fn write_files(
    spec: &SitesSpec,
    workspace: &Workspace,
    own: usize,
    addresses: &[GatewayAddresses],
    workers: &[Worker],
) -> std::io::Result<PathBuf> {
    let entry = |(number, address): &Worker| Entry {
        address: address.to_string(),
        state: WorkerState::Active,
        started: None,
        kind: 0,
        zone: 0,
        // Each worker process is a cell of its own, because it remembers only the keys of calls that reached it.
        cell: *number as u64,
        size: 1.0,
    };
    let names = Names { kinds: vec!["std".into()], zones: Vec::new() };
    let entries: Vec<_> = workers.iter().map(entry).collect();
    write(&workspace.file(&format!("n{own}.roster.xml")), &names, &entries)?;
    let path = workspace.file(&format!("n{own}.xml"));
    std::fs::write(&path, settings(spec, own, addresses))?;
    Ok(path)
}

fn settings(spec: &SitesSpec, own: usize, addresses: &[GatewayAddresses]) -> String {
    let gateway_sites = spec.gateways();
    let site = gateway_sites[own];
    let first = gateway_sites.iter().position(|s| *s == site).unwrap_or(0);
    let (index, count) = (own - first, spec.sites[site].gateways);
    let mut text = String::from("<basaltward xmlns=\"urn:basaltward:config:1\">\n");
    let own_addresses = addresses[own];
    let _ = writeln!(text, "  <gateway name=\"n{own}\" index=\"{index}\" count=\"{count}\"/>");
    let _ = writeln!(text, "  <listen address=\"{}\"/>", own_addresses.front);
    let _ = writeln!(text, "  <roster file=\"n{own}.roster.xml\"/>");
    let memory = spec.sites[site].memory_mb;
    let _ = writeln!(text, "  <kinds><kind name=\"std\" memory-mb=\"{memory}\"/></kinds>\n  <classes>");
    for (class, repeat) in CLASSES {
        let _ = write!(text, "    <class name=\"{class}\" aim-ms=\"750\" deadline-ms=\"{DEADLINE_MS}\"");
        let _ = write!(text, " repeat=\"{repeat}\"");
        if repeat == "keyed" {
            let _ = write!(text, " group=\"cell\" window-ms=\"{REPEAT_WINDOW_MS}\"");
        }
        if repeat != "safe" && spec.holders > 0 && !spec.standalone {
            let _ = write!(text, " pending=\"kept\" holders=\"{}\"", spec.holders);
        }
        text.push_str("/>\n");
    }
    text.push_str("  </classes>\n  <functions>\n");
    for (class, _) in CLASSES {
        for number in 0..spec.functions {
            let _ = write!(text, "    <function name=\"{class}-{number}\" class=\"{class}\"");
            let _ = writeln!(
                text,
                " memory-mb=\"{COPY_MB}\" lanes=\"{LANES}\" load-ms=\"{}\"/>",
                spec.load_ms.max(1)
            );
        }
    }
    text.push_str("  </functions>\n");
    if !spec.tenants.is_empty() {
        text.push_str("  <tenants>\n");
        for (name, quota) in &spec.tenants {
            let _ = writeln!(text, "    <tenant name=\"{name}\" quota-per-s=\"{quota}\"/>");
        }
        text.push_str("  </tenants>\n");
    }
    let _ = writeln!(text, "  <repeats remember-ms=\"{REPEAT_WINDOW_MS}\"/>");
    if !spec.standalone {
        text.push_str(&peers(spec, own, addresses));
    }
    let _ = writeln!(text, "  <records file=\"n{own}.records\"/>\n</basaltward>");
    text
}

fn peers(spec: &SitesSpec, own: usize, addresses: &[GatewayAddresses]) -> String {
    let (gateway_sites, own_addresses) = (spec.gateways(), addresses[own]);
    let mut text = format!(
        "  <sites fleet=\"trial\" listen=\"{}\" journal-listen=\"{}\"",
        own_addresses.datagrams, own_addresses.journal
    );
    text.push_str(" operators=\"127.0.0.1\">\n");
    for (site, site_spec) in spec.sites.iter().enumerate() {
        let _ = writeln!(text, "    <site name=\"{}\">", site_spec.name);
        for number in (0..gateway_sites.len()).filter(|i| gateway_sites[*i] == site) {
            let GatewayAddresses { datagrams, front, journal } = addresses[number];
            let _ = write!(text, "      <peer name=\"n{number}\" tell=\"{datagrams}\"");
            let _ = writeln!(text, " front=\"{front}\" journal=\"{journal}\"/>");
        }
        text.push_str("    </site>\n");
    }
    text.push_str("  </sites>\n");
    text
}

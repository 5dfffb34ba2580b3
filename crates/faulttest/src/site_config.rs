//! The settings of one gateway of a bed of sites, as its operator would write them.

use crate::site_spec::{CLASSES, COPY_MB, LANES, SitesSpec};
use crate::workspace::Workspace;
use basaltward::WorkerState;
use basaltward_roster::{Entry, Names, write};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Longest patience of a client, and how long workers drop a keyed repeat.
pub(crate) const DEADLINE_MS: u64 = 10_000;
const WINDOW_MS: u64 = 12_000;

/// Where one gateway is reached by another, or by itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reach {
    pub tell: SocketAddr,
    pub front: SocketAddr,
    pub journal: SocketAddr,
}

/// Where a worker is reached by one gateway, by its number.
pub(crate) type Worker = (usize, SocketAddr);

/// Writes settings and roster of a gateway; gives the file of its settings.
pub(crate) fn write_files(
    spec: &SitesSpec,
    workspace: &Workspace,
    own: usize,
    reaches: &[Reach],
    workers: &[Worker],
) -> std::io::Result<PathBuf> {
    let entry = |(number, address): &Worker| Entry {
        address: address.to_string(),
        state: WorkerState::Active,
        started: None,
        kind: 0,
        zone: 0,
        // A process remembers the keys that reached it, and no other's.
        cell: *number as u64,
        size: 1.0,
    };
    let names = Names { kinds: vec!["std".into()], zones: Vec::new() };
    let entries: Vec<_> = workers.iter().map(entry).collect();
    write(&workspace.file(&format!("n{own}.roster.xml")), &names, &entries)?;
    let path = workspace.file(&format!("n{own}.xml"));
    std::fs::write(&path, settings(spec, own, reaches))?;
    Ok(path)
}

fn settings(spec: &SitesSpec, own: usize, reaches: &[Reach]) -> String {
    let of = spec.gateways();
    let site = of[own];
    let first = of.iter().position(|s| *s == site).unwrap_or(0);
    let (index, count) = (own - first, spec.sites[site].gateways);
    let mut text = String::from("<basaltward xmlns=\"urn:basaltward:config:1\">\n");
    let at = reaches[own];
    let _ = writeln!(text, "  <gateway name=\"n{own}\" index=\"{index}\" count=\"{count}\"/>");
    let _ = writeln!(text, "  <listen address=\"{}\"/>", at.front);
    let _ = writeln!(text, "  <roster file=\"n{own}.roster.xml\"/>");
    let memory = spec.sites[site].memory_mb;
    let _ = writeln!(text, "  <kinds><kind name=\"std\" memory-mb=\"{memory}\"/></kinds>\n  <classes>");
    for (class, repeat) in CLASSES {
        let _ = write!(text, "    <class name=\"{class}\" aim-ms=\"750\" deadline-ms=\"{DEADLINE_MS}\"");
        let _ = write!(text, " repeat=\"{repeat}\"");
        if repeat == "keyed" {
            let _ = write!(text, " group=\"cell\" window-ms=\"{WINDOW_MS}\"");
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
    let _ = writeln!(text, "  <repeats remember-ms=\"{WINDOW_MS}\"/>");
    if !spec.standalone {
        text.push_str(&peers(spec, own, reaches));
    }
    let _ = writeln!(text, "  <records file=\"n{own}.records\"/>\n</basaltward>");
    text
}

fn peers(spec: &SitesSpec, own: usize, reaches: &[Reach]) -> String {
    let (of, at) = (spec.gateways(), reaches[own]);
    let mut text =
        format!("  <sites fleet=\"trial\" listen=\"{}\" journal-listen=\"{}\"", at.tell, at.journal);
    text.push_str(" operators=\"127.0.0.1\">\n");
    for (site, told) in spec.sites.iter().enumerate() {
        let _ = writeln!(text, "    <site name=\"{}\">", told.name);
        for number in (0..of.len()).filter(|i| of[*i] == site) {
            let Reach { tell, front, journal } = reaches[number];
            let _ = write!(text, "      <peer name=\"n{number}\" tell=\"{tell}\"");
            let _ = writeln!(text, " front=\"{front}\" journal=\"{journal}\"/>");
        }
        text.push_str("    </site>\n");
    }
    text.push_str("  </sites>\n");
    text
}

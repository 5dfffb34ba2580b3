//! Settings of sites: which gateways stand in for one another, where each is reached, what is kept.

use crate::Fault;
use crate::xml::Element;
use basaltward::Micros;
use std::net::{IpAddr, SocketAddr};

/// What is done with a kept event that no neighbour can hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreplicatedPolicy {
    /// It is refused: nothing of it has run.
    Refuse,
    /// It goes on, and its answer says that it was not kept.
    Continue,
}

/// How events of a class are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicationConfig {
    /// Neighbours that hold an entry before its event goes on.
    pub holders: usize,
    /// What is done where they can't be reached.
    pub unreplicated: UnreplicatedPolicy,
    /// Safe events are done though their clients are gone.
    pub finish_without_client: bool,
}

/// One of all gateways.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SitePeerConfig {
    /// Its name: that of its own `gateway` element.
    pub name: String,
    /// Its site, a position in [`SitesConfig::names`].
    pub site: u8,
    /// Where its datagrams are taken.
    pub datagram_address: SocketAddr,
    /// Where it serves clients.
    pub client_address: SocketAddr,
    /// Where it takes connections of peers.
    pub journal_address: SocketAddr,
}

/// Bounds on what is held for other gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournalConfig {
    /// Bytes held, all journals together.
    pub max_bytes: usize,
    /// Longest event or answer that is kept, in bytes.
    pub max_entry_bytes: usize,
    /// A lease under which unsafe events are sent.
    pub lease: Micros,
}

/// Sites that stand in for one another, as one gateway is told of them. All are told the same lists.
#[derive(Clone, Debug, PartialEq)]
pub struct SitesConfig {
    /// Names the fleet of all sites.
    pub fleet: String,
    /// Where our datagrams are taken.
    pub datagram_listen: SocketAddr,
    /// Where we take connections of peers.
    pub journal_listen: SocketAddr,
    /// Hosts from which operators may ask.
    pub operator_hosts: Vec<IpAddr>,
    /// Our number among the peers.
    pub own_index: u16,
    /// Names of the sites, by position.
    pub site_names: Vec<String>,
    /// All gateways of all sites, in the order of the file, ourselves among them.
    pub peers: Vec<SitePeerConfig>,
    /// Calls may be handed to another site.
    pub hand_over: bool,
    /// Overload is answered by all as one.
    pub shed: bool,
    /// Bounds on what is held.
    pub journal: JournalConfig,
}

/// How a class keeps its events, if it does.
pub fn kept(node: &Element, faults: &mut Vec<Fault>) -> Option<ReplicationConfig> {
    let holders = node.parse_attribute("holders", faults);
    if node.attribute("pending") != Some("kept") {
        if ["holders", "unheld", "owed"].iter().any(|name| node.attribute(name).is_some()) {
            faults.push(node.fault("holders, unheld and owed are for classes with pending=\"kept\""));
        }
        return None;
    }
    let unheld = if node.attribute("unheld") == Some("go-on") {
        UnreplicatedPolicy::Continue
    } else {
        UnreplicatedPolicy::Refuse
    };
    Some(ReplicationConfig {
        holders: holders.unwrap_or(1),
        unreplicated: unheld,
        finish_without_client: node.bool_attribute("owed").unwrap_or(false),
    })
}

/// The sites that the gateway of this name is told of.
pub fn sites(node: &Element, own: &str, faults: &mut Vec<Fault>) -> Option<SitesConfig> {
    let (mut names, mut peers) = (Vec::new(), Vec::<SitePeerConfig>::new());
    for site in node.children("site") {
        let name = site.attribute("name").unwrap_or_default().to_owned();
        if names.contains(&name) {
            faults.push(site.fault(format!("site {name:?} stands twice")));
        }
        for peer in site.children("peer") {
            let mut at = |what: &str| {
                peer.parse_attribute::<SocketAddr>(what, faults).unwrap_or_else(|| ([127, 0, 0, 1], 0).into())
            };
            let (tell, front, journal) = (at("tell"), at("front"), at("journal"));
            let name = peer.attribute("name").unwrap_or_default().to_owned();
            if peers.iter().any(|known| known.name == name) {
                faults.push(peer.fault(format!("peer {name:?} stands twice")));
            }
            if peers.iter().any(|known| known.datagram_address == tell) {
                faults.push(peer.fault(format!("{tell} is another peer's: datagrams are told apart by it")));
            }
            peers.push(SitePeerConfig {
                name,
                site: names.len() as u8,
                datagram_address: tell,
                client_address: front,
                journal_address: journal,
            });
        }
        names.push(name);
    }
    let position = peers.iter().position(|peer| peer.name == own);
    if position.is_none() {
        faults.push(node.fault(format!("no peer is named {own:?}, as the gateway element names us")));
    }
    let mut address = |what: &str| node.parse_attribute::<SocketAddr>(what, faults);
    let (listen, journal_listen) = (address("listen")?, address("journal-listen")?);
    let operators = node.attribute("operators").unwrap_or_default().split_whitespace();
    let operators: Vec<Option<IpAddr>> = operators.map(|told| told.parse().ok()).collect();
    if operators.contains(&None) {
        faults.push(node.fault("operators holds addresses of hosts, with blanks between"));
    }
    let millis = |told: Option<f64>, absent: f64| (told.unwrap_or(absent) * 1_000.0) as Micros;
    let journal = JournalConfig {
        max_bytes: node.parse_attribute("journal-bytes", faults).unwrap_or(64 << 20),
        max_entry_bytes: node.parse_attribute("entry-bytes", faults).unwrap_or(64 << 10),
        lease: millis(node.parse_attribute("lease-ms", faults), 3_000.0),
    };
    if journal.lease < 500_000 {
        faults.push(node.fault("lease-ms below 500 ends before it can be renewed over a slow link"));
    }
    Some(SitesConfig {
        fleet: node.attribute("fleet").unwrap_or_default().to_owned(),
        datagram_listen: listen,
        journal_listen,
        operator_hosts: operators.into_iter().flatten().collect(),
        own_index: position? as u16,
        site_names: names,
        peers,
        hand_over: node.bool_attribute("hand-over").unwrap_or(true),
        shed: node.bool_attribute("shed").unwrap_or(true),
        journal,
    })
}

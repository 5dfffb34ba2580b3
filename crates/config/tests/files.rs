//! Valid settings files get their defaults; invalid ones report the place of each fault.
use basaltward::{Group, Repeat};
use basaltward_config::{ConfigError, Fault, ReplicationConfig, UnreplicatedPolicy, read};
use std::path::Path;

const GOOD: &str = r#"<basaltward xmlns="urn:basaltward:config:1">
  <gateway index="1" count="3" threads="2"/>
  <listen address="127.0.0.1:8080"/>
  <roster file="roster.xml"/>
  <kinds><kind name="std-4" memory-mb="12096"/></kinds>
  <classes>
    <class name="view" aim-ms="750" deadline-ms="2500" repeat="safe"/>
    <class name="note" aim-ms="500" deadline-ms="3000" repeat="keyed" group="zone" window-ms="3000"/>
  </classes>
  <functions><function name="parcels" class="note" memory-mb="400" lanes="2" load-ms="700.5"/></functions>
</basaltward>"#;

fn faults(text: &str) -> Vec<Fault> {
    match read(text, Path::new("x.xml")) {
        Err(ConfigError::Faults { faults, .. }) => faults,
        other => panic!("no faults: {other:?}"),
    }
}

#[test]
fn a_small_file_gets_defaults_and_a_scheduler_number_for_each_event_loop() {
    let config = read(GOOD, Path::new("etc/x.xml")).expect("good");
    assert_eq!(config.roster_file, Path::new("etc/roster.xml"));
    assert_eq!(config.controller.classes[1].repeat, Repeat::Keyed { group: Group::Zone, window: 3_000_000 });
    assert_eq!((config.functions[0].class, config.functions[0].load_time), (1, Some(700_500)));
    let second = config.controller_settings(1);
    assert_eq!((second.schedulers, second.self_index), (6, 3));
}

#[test]
fn each_fault_names_its_place_and_what_was_expected() {
    let cases = [
        (("repeat=\"safe\"", "repeat=\"often\""), 7, "often"),
        (("aim-ms=\"750\"", "aim-ms=\"0\""), 7, "0"),
        (("threads=\"2\"", "threats=\"2\""), 2, "threats"),
        (("<kinds>", "<kind/><kinds>"), 5, "kind"),
        (("deadline-ms=\"2500\"", "deadline-ms=\"700\""), 7, "deadline-ms must not be below aim-ms"),
        ((" window-ms=\"3000\"", ""), 8, "needs window-ms"),
        (("class=\"note\"", "class=\"nota\""), 10, "\"nota\" is not one of view, note"),
        (("memory-mb=\"400\"", "memory-mb=\"40000\""), 10, "fits no kind"),
        (("name=\"note\"", "name=\"view\""), 8, "duplicate class \"view\""),
        (("index=\"1\"", "index=\"3\""), 2, "must be below count"),
        (
            ("</functions>", "</functions><repeats remember-ms=\"2999\"/>"),
            10,
            "remember-ms must not be below",
        ),
        (("</classes>", ""), 11, "not well-formed"),
    ];
    for ((from, to), line, expected) in cases {
        let found = faults(&GOOD.replacen(from, to, 1));
        let fits = |f: &&Fault| f.line == line && f.message.contains(expected);
        assert!(found.iter().any(|f| fits(&f)), "{to:?}: line {line} with {expected:?} not in {found:#?}");
    }
}

const SITES: &str = r#"<sites fleet="cadastre" listen="127.0.0.1:7000" journal-listen="127.0.0.1:7100" operators="127.0.0.1" lease-ms="2000">
    <site name="cusco"><peer name="c0" tell="127.0.0.1:7001" front="127.0.0.1:8080" journal="127.0.0.1:7101"/></site>
    <site name="lima">
      <peer name="l0" tell="127.0.0.1:7002" front="127.0.0.1:8081" journal="127.0.0.1:7102"/>
      <peer name="l1" tell="127.0.0.1:7003" front="127.0.0.1:8082" journal="127.0.0.1:7103"/>
    </site>
  </sites>
</basaltward>"#;

fn with_sites() -> String {
    let replicated = r#"repeat="safe" pending="kept" holders="2" unheld="go-on""#;
    let named = GOOD.replace("<gateway index", "<gateway name=\"l0\" index");
    named.replace("repeat=\"safe\"", replicated).replace("</basaltward>", SITES)
}

#[test]
fn sites_name_every_gateway_once_including_this_one() {
    let config = read(&with_sites(), Path::new("x.xml")).expect("good");
    let replication = ReplicationConfig {
        holders: 2,
        unreplicated: UnreplicatedPolicy::Continue,
        finish_without_client: false,
    };
    assert_eq!(config.replication, [Some(replication), None]);
    let sites = config.sites.expect("sites are configured");
    assert_eq!((sites.own_index, sites.site_names.len(), sites.peers.len()), (1, 2, 3));
    assert_eq!((sites.peers[2].site, sites.journal.lease, sites.hand_over), (1, 2_000_000, true));
    let cases = [
        ("name=\"l1\"", "name=\"l0\"", 15, "duplicate peer \"l0\""),
        ("<peer name=\"c0\"", "<fellow name=\"c0\"", 12, "renamed to `peer`"),
        ("name=\"lima\"", "name=\"cusco\"", 13, "duplicate site \"cusco\""),
        ("127.0.0.1:7003", "127.0.0.1:7002", 15, "another peer's"),
        ("gateway name=\"l0\"", "gateway name=\"x\"", 11, "no peer is named \"x\""),
        ("lease-ms=\"2000\"", "lease-ms=\"20\"", 11, "lease-ms below 500"),
        ("operators=\"127.0.0.1\"", "operators=\"host\"", 11, "IP addresses of hosts"),
        ("pending=\"kept\"", "pending=\"none\"", 7, "are for classes with"),
        ("front=\"127.0.0.1:8081\"", "front=\"here\"", 14, "here"),
    ];
    for (from, to, line, expected) in cases {
        let found = faults(&with_sites().replacen(from, to, 1));
        let fits = |f: &&Fault| f.line == line && f.message.contains(expected);
        assert!(found.iter().any(|f| fits(&f)), "{to:?}: line {line} with {expected:?} not in {found:#?}");
    }
    let without_sites = GOOD.replace("repeat=\"safe\"", "repeat=\"safe\" pending=\"kept\"");
    assert!(
        faults(&without_sites).iter().any(|f| f.line == 7 && f.message.contains("needs a sites element"))
    );
}

//! Settings as files: good ones with their defaults, bad ones with the place of each fault.
use basaltward::{Group, Repeat};
use basaltward_config::{ConfigError, Fault, read};
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
fn a_small_file_gets_defaults_and_numbers_of_its_own_for_each_loop() {
    let config = read(GOOD, Path::new("etc/x.xml")).expect("good");
    assert_eq!(config.roster, Path::new("etc/roster.xml"));
    assert_eq!(config.module.classes[1].repeat, Repeat::Keyed { group: Group::Zone, window: 3_000_000 });
    assert_eq!((config.functions[0].class, config.functions[0].load), (1, Some(700_500)));
    let second = config.module_of(1);
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
        (("class=\"note\"", "class=\"nota\""), 10, "\"nota\" is not among view, note"),
        (("memory-mb=\"400\"", "memory-mb=\"40000\""), 10, "fits no kind"),
        (("name=\"note\"", "name=\"view\""), 8, "stands twice"),
        (("index=\"1\"", "index=\"3\""), 2, "must be below count"),
        (
            ("</functions>", "</functions><repeats remember-ms=\"2999\"/>"),
            10,
            "remember-ms must not be below",
        ),
        (("</classes>", ""), 11, "not well-formed"),
    ];
    for ((from, to), line, said) in cases {
        let found = faults(&GOOD.replacen(from, to, 1));
        let fits = |f: &&Fault| f.line == line && f.message.contains(said);
        assert!(found.iter().any(|f| fits(&f)), "{to:?}: line {line} with {said:?} not in {found:#?}");
    }
}

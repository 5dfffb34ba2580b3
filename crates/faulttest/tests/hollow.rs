//! Hollow members without processes: simulated network, resource estimate, socket drops, scripts and CSV rows.
use basaltward_faulttest::{
    Delays, HollowAction, HollowError, HollowReport, HollowScript, LoadedScript, MachineLimits,
    NetworkConditions, Partition, ResourceEstimate, Row, Topology, Value, csv_rows, load_script,
    socket_drops, total_drops,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/trial");

/// A network without faults: four zones of ten members in two regions.
fn network() -> NetworkConditions {
    let topology = Topology { members: 40, zones: 4, regions: 2 };
    NetworkConditions {
        topology,
        delays: Delays::default(),
        jitter: 0.0,
        loss_rate: 0.0,
        duplicate_rate: 0.0,
        partition: None,
    }
}

#[test]
fn delay_depends_on_zones_and_a_partition_drops_both_directions_across_it_only() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut first_delay = |network: &NetworkConditions, from, to| network.copy_delays(from, to, &mut rng)[0];
    // Members 0 and 5 share a zone, 0 and 15 a region; 0 and 25 share neither.
    let cases = [(0, 5, 300), (0, 15, 1_500), (0, 25, 60_000)];
    for (one, other, delay) in cases {
        assert_eq!(first_delay(&network(), one, other), Some(delay));
        assert_eq!(first_delay(&network(), other, one), Some(delay));
    }
    let delay = first_delay(&NetworkConditions { jitter: 0.5, ..network() }, 0, 25)
        .expect("the datagram is not lost");
    assert!((60_001..=90_000).contains(&delay), "{delay}");
    for (partition, lost) in [
        (Partition::Zone(1), [false, true, false]),
        (Partition::Zone(0), [false, true, true]),
        (Partition::Region(1), [false, false, true]),
    ] {
        let network = NetworkConditions { partition: Some(partition), ..network() };
        for ((one, other, _), lost) in cases.into_iter().zip(lost) {
            assert_eq!(first_delay(&network, one, other).is_none(), lost, "{partition:?} {one} {other}");
            assert_eq!(first_delay(&network, other, one).is_none(), lost, "{partition:?} {other} {one}");
        }
    }
}

#[test]
fn loss_and_duplication_follow_their_rates() {
    let mut rng = StdRng::seed_from_u64(1);
    let network = NetworkConditions { loss_rate: 0.2, duplicate_rate: 0.1, ..network() };
    let delays: Vec<_> = (0..10_000).map(|_| network.copy_delays(0, 1, &mut rng)).collect();
    let lost = delays.iter().filter(|copies| copies[0].is_none()).count();
    let doubled = delays.iter().filter(|copies| copies[1].is_some()).count();
    assert!((1_800..2_200).contains(&lost), "{lost}");
    assert!((680..920).contains(&doubled), "{doubled} duplicated of those not lost");
}

#[test]
fn zones_have_nearly_equal_sizes_and_contain_every_member_once() {
    let topology = Topology { members: 1_900, zones: 7, regions: 2 };
    let zones: Vec<_> = (0..7).map(|zone| topology.members_of_zone(zone)).collect();
    assert!(zones.iter().all(|zone| (271..=272).contains(&zone.len())));
    assert_eq!(zones.concat(), (0..1_900).collect::<Vec<_>>());
    let regions: Vec<_> = (0..7).map(|zone| topology.region_of_zone(zone)).collect();
    assert_eq!(regions, [0, 0, 0, 0, 1, 1, 1]);
}

#[test]
fn run_beyond_the_machine_limits_is_refused_with_the_missing_resource() {
    let machine = MachineLimits { descriptors: 20_000, memory_bytes: 24 << 30 };
    let estimate = ResourceEstimate::new(1_870, 30, 4);
    assert!(estimate.check(&machine).is_ok(), "{estimate:?}");
    let few = MachineLimits { descriptors: estimate.descriptors - 1, ..machine };
    assert!(matches!(estimate.check(&few), Err(HollowError::Descriptors { .. })));
    let small = MachineLimits { memory_bytes: estimate.memory_bytes * 2 - 2, ..machine };
    assert!(matches!(estimate.check(&small), Err(HollowError::Memory { .. })));
    let just = MachineLimits { memory_bytes: estimate.memory_bytes * 2, descriptors: estimate.descriptors };
    assert!(estimate.check(&just).is_ok());
    assert!(matches!(ResourceEstimate::new(10, 400, 1).check(&machine), Err(HollowError::Processes { .. })));
    assert!(matches!(ResourceEstimate::new(10_000, 0, 4).check(&machine), Err(HollowError::Memory { .. })));
}

/// Two sockets of the tested address, one of another address, and an incomplete line.
const TABLE: &str = "   sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode ref pointer drops
  601: FA05407F:2710 00000000:0000 07 00000000:00000000 00:00000000 00000000     0        0 9001 2 0000000000000000 7
  602: FA05407F:2711 00000000:0000 07 00000000:00000300 00:00000000 00000000     0        0 9002 2 0000000000000000 0
  603: 0100007F:2711 00000000:0000 07 00000000:00000000 00:00000000 00000000     0        0 9003 2 0000000000000000 99
  torn";

#[test]
fn drops_are_read_by_address_and_counted_after_a_socket_is_closed() {
    let mut known = BTreeMap::new();
    let host = [127, 64, 5, 250].into();
    let seen = socket_drops(host, TABLE);
    assert_eq!(seen, BTreeMap::from([(9001, 7), (9002, 0)]));
    assert_eq!(total_drops(&mut known, seen), 7);
    // The first socket was closed, and a third one now has its address.
    let later = TABLE.replace("9001 2 0000000000000000 7", "9004 2 0000000000000000 2");
    assert_eq!(total_drops(&mut known, socket_drops(host, &later)), 9);
    assert_eq!(total_drops(&mut known, socket_drops(host, &later)), 9);
}

#[test]
fn csv_rows_mark_series_that_did_not_settle() {
    let mut report = HollowReport { size: 300, loss_rate: 0.05, ..HollowReport::default() };
    report.rows.insert("settle_start_ms", Row { value: Value::Measured(1_234.4), unit: "ms" });
    report.rows.insert("settle_kill_one_ms", Row { value: Value::Unsettled, unit: "ms" });
    assert_eq!(
        csv_rows(&report, "basaltward trial x.xml"),
        [
            "settle_kill_one_ms,300,unsettled,ms,0.05,1,basaltward trial x.xml",
            "settle_start_ms,300,1234,ms,0.05,1,basaltward trial x.xml"
        ]
    );
}

fn read(text: &str, name: &str) -> Result<HollowScript, String> {
    let path: PathBuf = std::env::temp_dir().join(format!("hollow-{}-{name}.xml", std::process::id()));
    std::fs::write(&path, text).expect("written");
    let loaded = load_script(&path, Path::new("program"), None);
    std::fs::remove_file(&path).expect("removed");
    match loaded {
        Ok(LoadedScript::Hollow(script)) => Ok(script),
        Ok(_) => panic!("not a script of hollow members"),
        Err(error) => Err(error.to_string()),
    }
}

const VALID_SCRIPT: &str = r#"<trial xmlns="urn:basaltward:trial:1" seed="9">
  <hollow count="40" real="4" zones="4" regions="2" lost="0.05">
    <step do="quiet" for-ms="10"/>
    <step do="kill" members="11"/>
    <step do="kill" zone="3"/>
    <step do="start"/>
    <step do="cut" region="1" for-ms="10"/>
    <step do="loss" lost="0.2"/>
  </hollow>
</trial>"#;

#[test]
fn script_is_read_with_default_values() {
    let script = read(VALID_SCRIPT, "good").expect("valid script");
    assert_eq!(
        (script.spec.members(), script.spec.real_members, script.spec.loops, script.spec.seed),
        (44, 4, 1, 9)
    );
    assert_eq!(
        script.spec.conditions.delays,
        Delays { within_zone_us: 300, between_zones_us: 1_500, between_regions_us: 60_000 }
    );
    let actions: Vec<_> = script.steps.iter().map(|step| step.action).collect();
    assert_eq!(
        actions,
        [
            HollowAction::MeasureIdle { after: 0, span: 10_000 },
            HollowAction::KillMembers(11),
            HollowAction::KillZone(3),
            HollowAction::StartDeadMembers,
            HollowAction::Partition(Partition::Region(1), 10_000),
            HollowAction::Loss { loss_rate: 0.2, duplicate_rate: 0.0 },
        ]
    );
}

#[test]
fn invalid_values_are_refused_with_line_and_field() {
    let cases = [
        ("count=\"40\"", "count=\"0\"", 2, "count"),
        ("count=\"40\"", "count=\"10001\"", 2, "count"),
        ("count=\"40\" ", "", 2, "count"),
        ("real=\"4\"", "real=\"101\"", 2, "real"),
        ("real=\"4\"", "real=\"14\"", 2, "real"),
        ("real=\"4\"", "real=\"4\" pace=\"2\"", 2, "pace"),
        ("zones=\"4\"", "zones=\"45\"", 2, "zones"),
        ("regions=\"2\"", "regions=\"5\"", 2, "regions"),
        ("lost=\"0.05\"", "lost=\"1.5\"", 2, "lost"),
        ("lost=\"0.05\"", "lots=\"0.05\"", 2, "lots"),
        ("do=\"quiet\"", "do=\"rest\"", 3, "do"),
        ("do=\"quiet\" for-ms=\"10\"", "do=\"quiet\"", 3, "for-ms"),
        ("members=\"11\"", "members=\"12\"", 4, "members"),
        ("members=\"11\"", "members=\"1\" zone=\"1\"", 4, "members or zone"),
        ("zone=\"3\"", "zone=\"4\"", 5, "zone: from 0 to 3"),
        ("region=\"1\"", "region=\"2\"", 7, "region: from 0 to 1"),
        ("region=\"1\" ", "", 7, "region"),
        ("lost=\"0.2\"", "lost=\"-1\"", 8, "lost"),
    ];
    for (number, (from, to, line, field)) in cases.into_iter().enumerate() {
        let text = VALID_SCRIPT.replace(from, to);
        assert_ne!(text, VALID_SCRIPT, "{from}");
        let error = read(&text, &number.to_string()).expect_err(to);
        assert!(
            error.contains(&format!("line {line}")) || error.contains(&format!(":{line}:")),
            "{to}: {error}"
        );
        assert!(error.contains(field), "{to}: {error}");
    }
}

#[test]
fn example_scripts_are_valid() {
    for (name, members) in [
        ("hollow", 63),
        ("hollow-300", 300),
        ("hollow-600", 600),
        ("hollow-1900", 1_900),
        ("hollow-1900-slow", 1_900),
    ] {
        let loaded =
            load_script(&Path::new(EXAMPLES).join(format!("{name}.xml")), Path::new("program"), None);
        let Ok(LoadedScript::Hollow(script)) = loaded else { panic!("{name}: {loaded:?}") };
        assert_eq!(script.spec.members(), members, "{name}");
    }
}

//! The operators' page on errors between sites lists exactly the errors of the code.

use basaltward_admission::AdmissionError;
use basaltward_peers::{ConnectionError, PeerError};
use basaltward_pending::{JournalFault, LeaseRefusal, LossReason, ReplicationError, WireError};
use basaltward_site_routing::RoutingError;
use std::collections::BTreeSet;
use strum::VariantNames;

const PAGE: &str = include_str!("../../../docs/operators/sites-errors.md");

/// Names in the first column of a section's tables.
fn names_in_tables(section: &str) -> BTreeSet<String> {
    let rows = section.lines().filter(|line| line.starts_with('|'));
    let first = rows.filter_map(|row| row.split('|').nth(1));
    first.flat_map(|cell| cell.split('`').skip(1).step_by(2)).map(str::to_owned).collect()
}

/// All names, each with its prefix.
fn prefixed(groups: &[(&str, &[&str])]) -> BTreeSet<String> {
    let each = |(prefix, names): &(&str, &[&str])| {
        names.iter().map(move |name| format!("{prefix}{name}")).collect::<Vec<_>>()
    };
    groups.iter().flat_map(each).collect()
}

/// Sections whose names differ from those of the code, each with the names that only one of the two has.
fn mismatches(page: &str) -> Vec<(String, Vec<String>)> {
    let known = [
        ("Start and links", prefixed(&[("", PeerError::VARIANTS), ("", ConnectionError::VARIANTS)])),
        (
            "Journals of kept events",
            prefixed(&[
                ("Unkept::", ReplicationError::VARIANTS),
                ("WireError::", WireError::VARIANTS),
                ("Fault::", JournalFault::VARIANTS),
            ]),
        ),
        ("Leases and heirs", prefixed(&[("Refused::", LeaseRefusal::VARIANTS), ("", LossReason::VARIANTS)])),
        ("Choice of site", prefixed(&[("", RoutingError::VARIANTS)])),
        ("The door", prefixed(&[("", AdmissionError::VARIANTS)])),
    ];
    // Names of types, and names defined in crates/permits, which the sections may also mention.
    let others = ["PeerError", "WireError", "Gone", "Denied::InUse", "Denied::Bound"];
    let others: BTreeSet<String> = others.map(str::to_owned).into();
    let mut mismatches = Vec::new();
    for (title, known) in known {
        let section = page.split("\n## ").find(|section| section.starts_with(title)).unwrap_or_default();
        let listed: BTreeSet<_> = names_in_tables(section).difference(&others).cloned().collect();
        let differing: Vec<_> = known.symmetric_difference(&listed).cloned().collect();
        mismatches.extend((!differing.is_empty()).then(|| (title.to_owned(), differing)));
    }
    mismatches
}

#[test]
fn error_page_lists_exactly_the_errors_of_the_code() {
    assert_eq!(mismatches(PAGE), Vec::new());
}

#[test]
fn missing_or_obsolete_names_are_detected() {
    for (from, to) in [("`Checksum`", ""), ("`Fault::Gap`", "`Fault::Gaps`"), ("`Stranger`", "")] {
        assert_eq!(mismatches(&PAGE.replace(from, to)).len(), 1, "{from}");
    }
}

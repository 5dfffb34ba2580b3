//! Every error of the rooms of sites stands on the operators' page, and nothing else does.

use basaltward_peers::{ConnectionError, PeerError};
use basaltward_pending::{JournalFault, LeaseRefusal, LossReason, ReplicationError, WireError};
use basaltward_route::RouteError;
use basaltward_shed::ShedError;
use std::collections::BTreeSet;
use strum::VariantNames;

const PAGE: &str = include_str!("../../../docs/operators/sites-errors.md");

/// Names in the first column of a section's tables.
fn listed(section: &str) -> BTreeSet<String> {
    let rows = section.lines().filter(|line| line.starts_with('|'));
    let first = rows.filter_map(|row| row.split('|').nth(1));
    first.flat_map(|cell| cell.split('`').skip(1).step_by(2)).map(str::to_owned).collect()
}

fn all(named: &[(&str, &[&str])]) -> BTreeSet<String> {
    let each = |(of, names): &(&str, &[&str])| {
        names.iter().map(move |name| format!("{of}{name}")).collect::<Vec<_>>()
    };
    named.iter().flat_map(each).collect()
}

/// Sections whose names are not those of the code, each with what is missing and what is strange.
fn wrong(page: &str) -> Vec<(String, Vec<String>)> {
    let known = [
        ("Start and links", all(&[("", PeerError::VARIANTS), ("", ConnectionError::VARIANTS)])),
        (
            "Journals of kept events",
            all(&[
                ("Unkept::", ReplicationError::VARIANTS),
                ("WireError::", WireError::VARIANTS),
                ("Fault::", JournalFault::VARIANTS),
            ]),
        ),
        ("Leases and heirs", all(&[("Refused::", LeaseRefusal::VARIANTS), ("", LossReason::VARIANTS)])),
        ("Choice of site", all(&[("", RouteError::VARIANTS)])),
        ("The door", all(&[("", ShedError::VARIANTS)])),
    ];
    // Names of types, and of what crates/permits has.
    let others = ["PeerError", "WireError", "Gone", "Denied::InUse", "Denied::Bound"];
    let others: BTreeSet<String> = others.map(str::to_owned).into();
    let mut wrong = Vec::new();
    for (title, known) in known {
        let section = page.split("\n## ").find(|section| section.starts_with(title)).unwrap_or_default();
        let listed: BTreeSet<_> = listed(section).difference(&others).cloned().collect();
        let off: Vec<_> = known.symmetric_difference(&listed).cloned().collect();
        wrong.extend((!off.is_empty()).then(|| (title.to_owned(), off)));
    }
    wrong
}

#[test]
fn the_page_of_errors_lists_what_the_code_has() {
    assert_eq!(wrong(PAGE), Vec::new());
}

#[test]
fn a_name_that_is_left_out_or_not_there_any_more_is_found() {
    for (from, to) in [("`Checksum`", ""), ("`Fault::Gap`", "`Fault::Gaps`"), ("`Stranger`", "")] {
        assert_eq!(wrong(&PAGE.replace(from, to)).len(), 1, "{from}");
    }
}

//! Tests of the parts of the capacity page; `tests/capacity.rs` checks that the committed page is what the command
//! writes.

use super::decide::decide;
use super::fit::fit;
use super::page::page;
use super::plan::{Assumptions, Plan, Role};
use super::points::{HEADER, Point, Points, PointsError, Reading, read, write};
use super::roles::{Basis, MEMBERSHIP, Missing, Model, Need, Resource, Section, figure};

fn assumptions() -> Assumptions {
    Assumptions::USUAL.resolved(&Plan::USERS)
}

fn is_close(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-6 * a.abs().max(b.abs()).max(1.0)
}

#[test]
fn fit_recovers_coefficients_and_standard_errors() {
    let plane = |x: f64, y: f64| 7.0 + 2.0 * x - 0.25 * y;
    let rows: Vec<Vec<f64>> = [1.0, 60.0, 5_000.0].map(|x| [10.0, 38_000.0].map(|y| vec![x, y])).concat();
    let values: Vec<f64> = rows.iter().map(|row| plane(row[0], row[1])).collect();
    let exact = fit(&rows, &values).expect("determined");
    assert!(exact.coefficients.iter().zip([7.0, 2.0, -0.25]).all(|(a, b)| is_close(*a, b)), "{exact:?}");
    assert!(is_close(exact.at(&[100.0, 100.0]), plane(100.0, 100.0)) && exact.residual < 1e-9);
    // By hand: x = 0, 1, 2, 3 and y = 1, 3, 2, 6 give 0.9 + 1.4 x, residuals 0.1, 0.7, -1.7, 0.9 and so a variance of
    // 4.2 / 2; the slope's standard error is the root of 2.1 / 5.
    let rows: Vec<Vec<f64>> = [0.0, 1.0, 2.0, 3.0].map(|x| vec![x]).to_vec();
    let rough = fit(&rows, &[1.0, 3.0, 2.0, 6.0]).expect("determined");
    assert!(is_close(rough.coefficients[0], 0.9) && is_close(rough.coefficients[1], 1.4));
    assert!(is_close(rough.errors.expect("four points")[1], 0.42_f64.sqrt()));
    assert!(is_close(rough.residual, (4.2_f64 / 4.0).sqrt() / 3.0));
    let two = fit(&rows[..2], &[1.0, 3.0]).expect("a line through two points");
    assert_eq!(two.errors, None, "two points leave no degree of freedom for an error");
    assert_eq!(fit(&rows[..1], &[1.0]), None);
    assert_eq!(
        fit(&[vec![4.0], vec![4.0], vec![4.0]], &[1.0, 2.0, 3.0]),
        None,
        "a single size does not determine a slope"
    );
}

#[test]
fn points_round_trip_through_csv_and_malformed_lines_are_rejected() {
    let unsettled = Point { reading: Reading::Unsettled, ..Point::new("settle_ms", 800.0, 0.0, "ms") };
    let points = vec![Point::new("settle_ms", 100.0, 1.5, "ms"), unsettled];
    assert_eq!(read("x.csv", &write(&points)), Ok(points));
    let header = PointsError::Header { file: "x.csv".into() };
    assert_eq!(read("x.csv", "series,size\n"), Err(header.clone()));
    assert_eq!(read("x.csv", ""), Err(header));
    for malformed in
        ["a,1,2,ms,0,1", "a,1,2,ms,0,1,c,d", "a,x,2,ms,0,1,c", "a,1,slow,ms,0,1,c", "a,1,inf,ms,0,1,c"]
    {
        let error = PointsError::Line { file: "x.csv".into(), line: 3 };
        let text = format!("{HEADER}\na,1,2,ms,0,1,c\n{malformed}\n");
        assert_eq!(read("x.csv", &text), Err(error), "{malformed}");
    }
}

#[test]
fn budget_shares_of_each_resource_sum_to_one() {
    let sum = |share: fn(Role) -> f64| Role::ALL.into_iter().map(share).sum::<f64>();
    let sums = [
        sum(|role| role.share().processor),
        sum(|role| role.share().memory),
        sum(|role| role.share().bandwidth),
    ];
    assert!(sums.iter().all(|sum| is_close(*sum, 1.0)), "{sums:?}");
}

#[test]
fn default_skew_is_the_smallest_that_makes_the_median_function_rare() {
    let (plan, assumptions) = (Plan::USERS, assumptions());
    let median_calls_per_s = |skew: f64| {
        let sum: f64 = (1..=38_000).map(|rank| f64::from(rank).powf(-skew)).sum();
        plan.calls_per_s * 19_000_f64.powf(-skew) / sum
    };
    let skew = assumptions.skew(&plan);
    assert!(
        median_calls_per_s(skew) <= plan.rare_calls_per_s
            && median_calls_per_s(skew - 0.001) > plan.rare_calls_per_s,
        "{skew}"
    );
    // A longer keep-alive means more functions held and fewer calls for functions that are not.
    let longer = Assumptions { keep_s: assumptions.keep_s * 2.0, ..assumptions.clone() };
    assert!(longer.functions_held(&plan) > assumptions.functions_held(&plan));
    assert!(longer.new_share(&plan) < assumptions.new_share(&plan));
}

/// A section with a single need, which counts in the decision and has this ratio.
fn section(role: Role, ratio: Option<f64>, missing: Option<Missing>) -> Section {
    let need = Need {
        resource: Resource::Memory,
        what: "all",
        formula: String::new(),
        value: ratio.map(|ratio| ratio * 10.0),
        basis: Basis::Measured,
        extrapolation: 1.0,
        slopes: Vec::new(),
        budget: 10.0,
    };
    let (state, messages, mechanism) = ("", "", "");
    Section { role, state, messages, needs: vec![need], mechanism, missing, notes: Vec::new() }
}

#[test]
fn largest_ratio_decides_and_near_ties_go_to_the_mechanism_others_depend_on() {
    let zoned = |ratio| section(Role::Membership, Some(ratio), Some(Missing::ZonedMembership));
    let directory = |ratio| section(Role::Directory, Some(ratio), Some(Missing::PartitionedDirectory));
    let module = |ratio| section(Role::Module, Some(ratio), Some(Missing::CandidateIndex));
    let decided = |sections: &[Section]| {
        decide(sections).map(|decision| (decision.first, decision.near_ties, decision.is_by_dependency))
    };
    assert_eq!(
        decided(&[zoned(8.0), directory(20.0), module(3.0)]),
        Some((Missing::PartitionedDirectory, 1, false)),
        "20 is more than twice 8"
    );
    assert_eq!(
        decided(&[zoned(11.0), directory(20.0), module(3.0)]),
        Some((Missing::ZonedMembership, 2, true)),
        "a near tie, and the directory depends on it"
    );
    assert_eq!(
        decided(&[zoned(11.0), directory(12.0), module(20.0)]),
        Some((Missing::ZonedMembership, 3, true)),
        "the candidate index depends on it through the directory"
    );
    assert_eq!(
        decided(&[zoned(20.0), directory(15.0)]),
        Some((Missing::ZonedMembership, 2, false)),
        "it depends on no other near tie"
    );
    assert_eq!(decided(&[zoned(1.0), directory(0.4)]), None, "all within their budgets");
    // A role that no mechanism would help is listed but does not count in the decision; nor does one that was not run.
    let journals = section(Role::Journals, Some(50.0), None);
    let unknown = section(Role::Admission, None, Some(Missing::ZonedMembership));
    let decision = decide(&[journals, unknown, module(3.0)]).expect("the module is over its budget");
    assert_eq!((decision.first, decision.ranked.len()), (Missing::CandidateIndex, 2));
}

#[test]
fn bound_of_the_code_fails_the_budget_check_but_does_not_count_in_the_decision() {
    let mut directory = section(Role::Directory, Some(0.5), Some(Missing::PartitionedDirectory));
    directory.needs.push(Need {
        resource: Resource::Bound,
        value: Some(190.0),
        ..directory.needs[0].clone()
    });
    assert_eq!((directory.ratio(), directory.is_within_budget()), (Some(0.5), Some(false)));
    assert_eq!(decide(&[directory]), None);
    assert_eq!(
        section(Role::Directory, None, None).is_within_budget(),
        None,
        "a need that was not run neither holds nor fails"
    );
}

fn settle_point(size: f64, ms: f64) -> Point {
    Point::new("settle_start_ms", size, ms, "ms")
}

/// The first need of the membership role, computed from these points.
fn first_membership_need(points: Vec<Point>) -> Need {
    let points = Points::default().with(MEMBERSHIP, points);
    let model = Model { plan: &Plan::USERS, assumptions: &assumptions(), points: &points };
    let section = model.sections().into_iter().find(|section| section.role == Role::Membership);
    section.expect("a section for each role").needs.swap_remove(0)
}

#[test]
fn need_is_labelled_measured_or_extrapolated_by_the_largest_measured_size() {
    let square = |size: f64| settle_point(size, size * size / 100.0);
    let extrapolated = first_membership_need([100.0, 400.0, 950.0].map(square).to_vec());
    assert!(
        is_close(extrapolated.value.expect("fitted"), 1_900.0 * 1_900.0 / 100.0 / 1e3),
        "{extrapolated:?}"
    );
    assert_eq!(
        (extrapolated.basis, figure(extrapolated.extrapolation)),
        (Basis::Extrapolated, "2.00".into())
    );
    // A point at the plan's size takes precedence over the fit.
    let measured = first_membership_need(vec![square(100.0), square(400.0), settle_point(1_900.0, 4_000.0)]);
    assert_eq!((measured.value, measured.basis), (Some(4.0), Basis::Measured));
    let none = first_membership_need(Vec::new());
    assert_eq!((none.value, none.basis, none.ratio()), (None, Basis::NotRun, None));
    let unsettled = Point { reading: Reading::Unsettled, ..square(800.0) };
    let below = first_membership_need(vec![square(100.0), square(400.0), unsettled]);
    assert!(below.slopes[0].text.ends_with("unsettled at 800, so this is from below"), "{below:?}");
}

#[test]
fn page_without_points_marks_every_role_as_not_run_and_is_deterministic() {
    let (plan, assumptions, points) = (Plan::USERS, assumptions(), Points::default());
    let text = page(&plan, &assumptions, &points);
    assert_eq!(text, page(&plan, &assumptions, &points));
    for role in Role::ALL {
        let section =
            text.split(&format!("## Role: {}\n", role.name())).nth(1).expect("a section for each role");
        let section = section.split("\n## ").next().unwrap_or_default();
        assert!(section.contains("| not run |") || section.contains("| arithmetic |"), "{}", role.name());
        assert!(!section.contains("| measured |"), "{}", role.name());
    }
    assert!(text.contains("`membership.csv`: not run.") && text.contains("`hollow.csv`: not run."));
}

#[test]
fn figures_have_three_significant_digits_and_grouped_thousands() {
    let texts = [0.0, 0.000_3, 0.029, 2.5, 16.67, 240_000.4, 9_999_999.6, -1_234.0].map(figure);
    assert_eq!(texts, ["0", "3.00e-4", "0.0290", "2.50", "16.7", "240,000", "10,000,000", "-1,234"]);
}

//! Sites of gateways that are lost and come back, in virtual time: a takeover needs the one permit that a majority has
//! committed, and no permit is granted for a site in use. Other seeds: `AGREED_SEEDS=0..500 cargo test --release`.
use basaltward_membership::{LinkFaults, MemberId, Micros, Site};
use basaltward_permits::{
    Denied, Observations, PermitRequest, PermitResult, PermitSettings, Subject, VirtualFleet,
};

const S: Micros = 1_000_000;
const LOST: Subject = Subject::Site(1);

fn seeds(default_count: u64) -> std::ops::Range<u64> {
    let range = std::env::var("AGREED_SEEDS").unwrap_or_default();
    let range = range.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    range.unwrap_or(0..default_count)
}

struct Run {
    fleet: VirtualFleet,
    sites: Vec<Site>,
}

impl Run {
    fn new(sites: &[Site], seed: u64) -> Self {
        let settings = PermitSettings::new(sites.len() as MemberId, 0, 0, seed);
        let link = LinkFaults { loss_rate: 0.02, duplicate_rate: 0.02, ..LinkFaults::default() };
        let mut fleet = VirtualFleet::new(sites.len() as MemberId, settings, Observations::new(), link);
        fleet.set_sites(sites.to_vec());
        fleet.net.node_ids().for_each(|member| fleet.start(member));
        fleet.run(25 * S);
        Self { fleet, sites: sites.to_vec() }
    }

    fn members(&self, site: Site) -> Vec<MemberId> {
        self.fleet.net.node_ids().filter(|member| self.sites[usize::from(*member)] == site).collect()
    }

    /// The leader's reply to a request, which is repeated until there is a leader.
    fn request(&mut self, through: MemberId, request: PermitRequest) -> PermitResult {
        let mut reply = Err(Denied::NoLeader);
        for _ in 0..10 {
            let before = self.fleet.answers.len();
            self.fleet.submit(through, request);
            self.fleet.run(self.fleet.net.now + 3 * S);
            let new = &self.fleet.answers[before..];
            reply = new
                .iter()
                .find(|answer| answer.through == through && answer.request == request)
                .map_or(reply, |answer| answer.answer);
            if reply != Err(Denied::NoLeader) {
                break;
            }
        }
        reply
    }
}

#[test]
fn a_lost_site_is_taken_over_by_one_permit_and_learns_its_number() {
    for seed in seeds(2) {
        let mut run = Run::new(&[0, 0, 1, 1, 2, 2], seed);
        assert_eq!(run.request(4, PermitRequest::Acquire(LOST)), Err(Denied::InUse), "seed {seed}");
        assert_eq!(run.request(2, PermitRequest::Reclaim(LOST)), Ok(0), "seed {seed}");
        let lost = run.members(1);
        lost.iter().for_each(|member| _ = run.fleet.net.kill(*member));
        run.fleet.run(run.fleet.net.now + 20 * S);
        let number = run.request(4, PermitRequest::Acquire(LOST)).expect("it is lost");
        assert_eq!(run.request(0, PermitRequest::Acquire(LOST)), Err(Denied::Taken(number)), "seed {seed}");
        // The permit for the site covers its gateways.
        assert_eq!(
            run.request(0, PermitRequest::Acquire(Subject::Gateway(2))),
            Err(Denied::InUse),
            "seed {seed}"
        );
        lost.iter().for_each(|member| run.fleet.start(*member));
        run.fleet.run(run.fleet.net.now + 20 * S);
        // The permit stays in force while the site is in use again, until the site returns it.
        assert_eq!(run.request(3, PermitRequest::Reclaim(LOST)), Ok(number), "seed {seed}");
        assert_eq!(run.request(3, PermitRequest::Return(LOST, number)), Ok(number), "seed {seed}");
        assert_eq!(run.request(2, PermitRequest::Reclaim(LOST)), Ok(0), "seed {seed}");
        assert_eq!(run.request(2, PermitRequest::Return(LOST, number)), Err(Denied::Stale), "seed {seed}");
    }
}

#[test]
fn a_minority_takes_over_no_site_and_a_majority_not_more_than_the_bound() {
    for seed in seeds(2) {
        let mut run = Run::new(&[0, 0, 1, 1, 2, 2], seed);
        let apart = run.members(1);
        run.fleet.net.set_isolated(&apart, true);
        run.fleet.run(run.fleet.net.now + 20 * S);
        for site in [0, 2] {
            assert_eq!(
                run.request(2, PermitRequest::Acquire(Subject::Site(site))),
                Err(Denied::NoLeader),
                "seed {seed}"
            );
        }
        assert!(run.request(0, PermitRequest::Acquire(LOST)).is_ok(), "seed {seed}");
        let mut run = Run::new(&[0, 0, 0, 1, 2], seed);
        [3, 4].into_iter().for_each(|member| _ = run.fleet.net.kill(member));
        run.fleet.run(run.fleet.net.now + 20 * S);
        let denied = run.request(0, PermitRequest::Acquire(Subject::Site(1)));
        assert!(matches!(denied, Err(Denied::Bound { out: 2, most: 1, .. })), "seed {seed}: {denied:?}");
    }
}

#[test]
fn a_lost_gateway_is_taken_over_while_its_site_is_live() {
    for seed in seeds(2) {
        let mut run = Run::new(&[0, 0, 1, 1, 2, 2], seed);
        run.fleet.net.kill(3);
        run.fleet.run(run.fleet.net.now + 20 * S);
        assert_eq!(run.request(0, PermitRequest::Acquire(LOST)), Err(Denied::InUse), "seed {seed}");
        assert!(run.request(0, PermitRequest::Acquire(Subject::Gateway(3))).is_ok(), "seed {seed}");
    }
}

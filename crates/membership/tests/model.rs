//! Suspicion and refutation, checked exhaustively with three members by the transitions of the code: every order
//! of suspicions, expiries, a death and a return, and of updates that is late, doubled or never comes.
use basaltward_membership::{Incarnation, Member, MemberState};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const MEMBERS: usize = 3;
/// Refutations looked at, and lives of each member.
const BUMPS: u32 = 2;
const LIVES: u64 = 2;

type Belief = (Incarnation, MemberState);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelMember {
    up: bool,
    own: Incarnation,
    beliefs: Vec<Belief>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    members: Vec<ModelMember>,
    /// Updates on their way for good: whom it is of, and what it says. It may come to anybody, at any time, again.
    updates: BTreeSet<(usize, Belief)>,
    /// A belief went back to an earlier incarnation.
    back: bool,
    /// Somebody believes more of a member than that member ever said or was accused of.
    invented: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// One suspects another.
    Suspect(usize, usize),
    /// A suspicion has stood for its time.
    Expire(usize, usize),
    /// Updates comes to a member.
    Hear(usize, (usize, Belief)),
    Kill(usize),
    Start(usize),
}

struct Protocol {
    newer: fn(&Member, Incarnation, MemberState) -> bool,
}

fn entry(belief: Belief) -> Member {
    Member { incarnation: belief.0, state: belief.1, state_since: 0, last_contact: 0 }
}

impl Protocol {
    fn believe(&self, fleet: &mut Fleet, at: usize, (of, told): (usize, Belief)) {
        let member = &mut fleet.members[at];
        if of == at {
            if let Some(own) = member.own.refutation(MemberState::Up, told) {
                member.own = own;
                member.beliefs[at] = (own, MemberState::Up);
                fleet.updates.insert((at, (own, MemberState::Up)));
            }
            return;
        }
        let known = member.beliefs[of];
        if (self.newer)(&entry(known), told.0, told.1) {
            fleet.back |= told.0 < known.0;
            member.beliefs[of] = told;
            fleet.updates.insert((of, told));
        }
    }
}

impl Model for Protocol {
    type State = Fleet;
    type Action = Step;

    fn init_states(&self) -> Vec<Fleet> {
        let own = Incarnation { start: 1, bump: 0 };
        let member = ModelMember { up: true, own, beliefs: vec![(own, MemberState::Up); MEMBERS] };
        let (members, updates) = (vec![member; MEMBERS], BTreeSet::new());
        vec![Fleet { members, updates, back: false, invented: false }]
    }

    fn actions(&self, fleet: &Fleet, steps: &mut Vec<Step>) {
        for (i, member) in fleet.members.iter().enumerate() {
            // The last of the three is the subject: one death, one return; the others stay.
            if i == MEMBERS - 1 {
                steps.extend(member.up.then_some(Step::Kill(i)));
                steps.extend((!member.up && member.own.start < LIVES).then_some(Step::Start(i)));
            }
            if !member.up {
                continue;
            }
            for j in (0..MEMBERS).filter(|j| *j != i) {
                match member.beliefs[j] {
                    (incarnation, MemberState::Up) if incarnation.bump < BUMPS => {
                        steps.push(Step::Suspect(i, j))
                    }
                    (_, MemberState::Suspect) => steps.push(Step::Expire(i, j)),
                    _ => {}
                }
            }
            steps.extend(fleet.updates.iter().map(|update| Step::Hear(i, *update)));
        }
    }

    fn next_state(&self, last: &Fleet, step: Step) -> Option<Fleet> {
        let mut fleet = last.clone();
        match step {
            Step::Suspect(i, j) | Step::Expire(i, j) => {
                let belief = &mut fleet.members[i].beliefs[j];
                belief.1 = if belief.1 == MemberState::Up { MemberState::Suspect } else { MemberState::Gone };
                let told = *belief;
                fleet.updates.insert((j, told));
            }
            Step::Hear(i, update) => self.believe(&mut fleet, i, update),
            Step::Kill(i) => fleet.members[i].up = false,
            Step::Start(i) => {
                let own = Incarnation { start: fleet.members[i].own.start + 1, bump: 0 };
                let mut beliefs = vec![(Incarnation::default(), MemberState::Unknown); MEMBERS];
                beliefs[i] = (own, MemberState::Up);
                fleet.members[i] = ModelMember { up: true, own, beliefs };
                fleet.updates.insert((i, (own, MemberState::Up)));
            }
        }
        for of in 0..MEMBERS {
            let own = fleet.members[of].own;
            fleet.invented |= fleet.members.iter().any(|m| m.beliefs[of].0 > own);
        }
        (fleet != *last).then_some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("no belief goes back", |_, fleet: &Fleet| !fleet.back),
            Property::<Self>::always("nobody invents a life", |_, fleet: &Fleet| !fleet.invented),
            Property::<Self>::sometimes("one held gone by all is up again for all", |_, fleet: &Fleet| {
                let subject = &fleet.members[MEMBERS - 1];
                let gone = (0..MEMBERS - 1).all(|i| {
                    fleet.updates.iter().any(|n| n.0 == MEMBERS - 1 && n.1.1 == MemberState::Gone)
                        && fleet.members[i].beliefs[MEMBERS - 1] == (subject.own, MemberState::Up)
                });
                subject.up && subject.own.bump > 0 && gone
            }),
        ]
    }
}

fn check(newer: fn(&Member, Incarnation, MemberState) -> bool) -> impl Checker<Protocol> {
    Protocol { newer }.checker().threads(2).target_max_depth(DEPTH).spawn_bfs().join()
}

/// Steps of a history: a suspicion, its expiry, a refutation, and the same again after a return.
const DEPTH: usize = 11;

#[test]
fn no_belief_goes_back_and_whoever_is_there_can_say_so() {
    let checked = check(Member::is_overridden_by);
    checked.assert_properties();
    assert!(checked.unique_state_count() > 50_000, "{}", checked.unique_state_count());
}

/// A planted fault: the word of an earlier incarnation is taken where it says worse.
#[test]
fn the_word_of_an_earlier_incarnation_is_found_out() {
    let checked = check(|entry, incarnation, state| (state, incarnation) > (entry.state, entry.incarnation));
    assert!(checked.discovery("no belief goes back").is_some());
}

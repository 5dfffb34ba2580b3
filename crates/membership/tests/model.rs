//! Model check of suspicion and refutation with three members, based on the transitions of the code. It covers every
//! order of suspicions, suspicion timeouts, a kill and a restart, with updates that are delayed, duplicated or lost.
use basaltward_membership::{Incarnation, Member, MemberState};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const MEMBERS: usize = 3;
/// Maximum number of refutations in the model.
const MAX_BUMPS: u32 = 2;
/// Lives of the member that is killed and restarted.
const LIVES: u64 = 2;

type Entry = (Incarnation, MemberState);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelMember {
    up: bool,
    own: Incarnation,
    entries: Vec<Entry>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    members: Vec<ModelMember>,
    /// All updates ever sent, as member and entry. Each may reach any member at any time, any number of times.
    updates: BTreeSet<(usize, Entry)>,
    /// An entry went back to an earlier incarnation.
    went_back: bool,
    /// A member has an entry with a later incarnation than the subject's own one.
    invented: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// A member suspects another one.
    Suspect(usize, usize),
    /// A suspicion times out.
    Expire(usize, usize),
    /// A member receives an update.
    Receive(usize, (usize, Entry)),
    Kill(usize),
    Start(usize),
}

struct Protocol {
    override_rule: fn(&Member, Incarnation, MemberState) -> bool,
}

fn to_member(entry: Entry) -> Member {
    Member { incarnation: entry.0, state: entry.1, state_since: 0, last_contact: 0 }
}

impl Protocol {
    /// Member `receiver` merges an update about member `subject`.
    fn merge(&self, fleet: &mut Fleet, receiver: usize, (subject, update): (usize, Entry)) {
        let member = &mut fleet.members[receiver];
        if subject == receiver {
            if let Some(own) = member.own.refutation(MemberState::Up, update) {
                member.own = own;
                member.entries[receiver] = (own, MemberState::Up);
                fleet.updates.insert((receiver, (own, MemberState::Up)));
            }
            return;
        }
        let known = member.entries[subject];
        if (self.override_rule)(&to_member(known), update.0, update.1) {
            fleet.went_back |= update.0 < known.0;
            member.entries[subject] = update;
            fleet.updates.insert((subject, update));
        }
    }
}

impl Model for Protocol {
    type State = Fleet;
    type Action = Step;

    fn init_states(&self) -> Vec<Fleet> {
        let own = Incarnation { start: 1, bump: 0 };
        let member = ModelMember { up: true, own, entries: vec![(own, MemberState::Up); MEMBERS] };
        let (members, updates) = (vec![member; MEMBERS], BTreeSet::new());
        vec![Fleet { members, updates, went_back: false, invented: false }]
    }

    fn actions(&self, fleet: &Fleet, steps: &mut Vec<Step>) {
        for (i, member) in fleet.members.iter().enumerate() {
            // Only the last member is killed and restarted, once each.
            if i == MEMBERS - 1 {
                steps.extend(member.up.then_some(Step::Kill(i)));
                steps.extend((!member.up && member.own.start < LIVES).then_some(Step::Start(i)));
            }
            if !member.up {
                continue;
            }
            for j in (0..MEMBERS).filter(|j| *j != i) {
                match member.entries[j] {
                    (incarnation, MemberState::Up) if incarnation.bump < MAX_BUMPS => {
                        steps.push(Step::Suspect(i, j))
                    }
                    (_, MemberState::Suspect) => steps.push(Step::Expire(i, j)),
                    _ => {}
                }
            }
            steps.extend(fleet.updates.iter().map(|update| Step::Receive(i, *update)));
        }
    }

    fn next_state(&self, last: &Fleet, step: Step) -> Option<Fleet> {
        let mut fleet = last.clone();
        match step {
            Step::Suspect(i, j) | Step::Expire(i, j) => {
                let entry = &mut fleet.members[i].entries[j];
                entry.1 = if entry.1 == MemberState::Up { MemberState::Suspect } else { MemberState::Gone };
                let update = *entry;
                fleet.updates.insert((j, update));
            }
            Step::Receive(i, update) => self.merge(&mut fleet, i, update),
            Step::Kill(i) => fleet.members[i].up = false,
            Step::Start(i) => {
                let own = Incarnation { start: fleet.members[i].own.start + 1, bump: 0 };
                let mut entries = vec![(Incarnation::default(), MemberState::Unknown); MEMBERS];
                entries[i] = (own, MemberState::Up);
                fleet.members[i] = ModelMember { up: true, own, entries };
                fleet.updates.insert((i, (own, MemberState::Up)));
            }
        }
        for member in 0..MEMBERS {
            let own = fleet.members[member].own;
            fleet.invented |= fleet.members.iter().any(|m| m.entries[member].0 > own);
        }
        (fleet != *last).then_some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("no entry goes back to an earlier incarnation", |_, fleet: &Fleet| {
                !fleet.went_back
            }),
            Property::<Self>::always("no member invents an incarnation", |_, fleet: &Fleet| !fleet.invented),
            Property::<Self>::sometimes("a member declared gone is up again for all", |_, fleet: &Fleet| {
                let subject = &fleet.members[MEMBERS - 1];
                let recovered = (0..MEMBERS - 1).all(|i| {
                    fleet.updates.iter().any(|u| u.0 == MEMBERS - 1 && u.1.1 == MemberState::Gone)
                        && fleet.members[i].entries[MEMBERS - 1] == (subject.own, MemberState::Up)
                });
                subject.up && subject.own.bump > 0 && recovered
            }),
        ]
    }
}

fn check(override_rule: fn(&Member, Incarnation, MemberState) -> bool) -> impl Checker<Protocol> {
    Protocol { override_rule }.checker().threads(2).target_max_depth(MAX_DEPTH).spawn_bfs().join()
}

/// Maximum number of steps: enough for a suspicion, its timeout and a refutation, and the same again after a restart.
const MAX_DEPTH: usize = 11;

#[test]
fn entries_never_go_back_and_running_members_can_refute() {
    let checked = check(Member::is_overridden_by);
    checked.assert_properties();
    assert!(checked.unique_state_count() > 50_000, "{}", checked.unique_state_count());
}

/// Injected fault: an update with an earlier incarnation overrides an entry if its state is worse.
#[test]
fn accepting_an_earlier_incarnation_is_detected() {
    let checked = check(|entry, incarnation, state| (state, incarnation) > (entry.state, entry.incarnation));
    assert!(checked.discovery("no entry goes back to an earlier incarnation").is_some());
}

//! Gateways of several sites in virtual time, with workers, clients that try again, and facts that are late or lost.
//! One seed, one history. Each gateway has its queue as the engine has: by worth, refused early where those ahead take
//! it past its aim. Without doors that is how each gateway sheds for itself.

use crate::controller::{Fault, Shed};
use crate::limiter::{Door, DoorFault};
use crate::settings::{ClassOf, ShedSettings};
use crate::table::Table;
use crate::types::{Asked, Ended, Verdict};
use basaltward_membership::{MemberId, Micros, Site, SiteMap};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

const S: Micros = 1_000_000;
/// Tables are made and counts read so often.
const STEP: Micros = 100_000;
/// A view notices so late who has gone or is cut off.
const NOTICE: Micros = 2 * S;

/// Calls of one class and tenant that come to one site, or evenly to all.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Where.
    pub site: Option<Site>,
    /// Class.
    pub class: usize,
    /// Tenant.
    pub tenant: usize,
    /// First tries a second at a load of 1.
    pub rate: f64,
    /// The load doesn't multiply it.
    pub steady: bool,
}

/// What is set up.
#[derive(Clone, Debug)]
pub struct Bed {
    /// Sites.
    pub sites: Site,
    /// Gateways at each.
    pub gateways: MemberId,
    /// Workers at each, of one call at a time.
    pub workers: usize,
    /// Calls that queue at each worker, in the order in which they come.
    pub depth: usize,
    /// Workers tell how long a call has waited in their queue.
    pub told: bool,
    /// Mean work of a call: half of it always, half drawn.
    pub work: Micros,
    /// Classes.
    pub classes: Vec<ClassOf>,
    /// Quotas of tenants.
    pub quotas: Vec<f64>,
    /// Worth past the quota.
    pub over_share_worth: f64,
    /// What comes.
    pub streams: Vec<Stream>,
    /// From when on which load.
    pub load: Vec<(Micros, f64)>,
    /// Share of clients that come again at the time told; the others come again at once, then slower.
    pub honour: f64,
    /// How long clients go on.
    pub patience: Micros,
    /// Share of tries that go to another gateway of the site.
    pub roam: f64,
    /// Clients say that a try is a further one.
    pub marks: bool,
    /// Facts are late by up to this, and lost in this share.
    pub facts: (Micros, f64),
    /// With doors and told facts; else each for itself.
    pub as_one: bool,
}

impl Bed {
    /// Four sites of two gateways and ten workers, good for 200 calls a second each.
    pub fn new() -> Self {
        Self {
            sites: 4,
            gateways: 2,
            workers: 10,
            depth: 2,
            told: true,
            work: 50_000,
            classes: vec![ClassOf { worth: 1.0, aim: 500_000, deadline: 2 * S }],
            quotas: Vec::new(),
            over_share_worth: 1.0,
            streams: vec![Stream { site: None, class: 0, tenant: 0, rate: 800.0, steady: false }],
            load: vec![(0, 1.0)],
            honour: 0.5,
            patience: 5 * S,
            roam: 0.5,
            marks: false,
            facts: (600_000, 0.1),
            as_one: true,
        }
    }

    /// Calls a second that all sites can do.
    pub fn capacity(&self) -> f64 {
        f64::from(self.sites) * self.workers as f64 * 1e6 / self.work as f64
    }

    fn size(&self) -> MemberId {
        MemberId::from(self.sites) * self.gateways
    }
}

impl Default for Bed {
    fn default() -> Self {
        Self::new()
    }
}

/// What is done to a fleet.
#[derive(Clone, Debug)]
pub enum Act {
    /// A gateway is killed.
    Kill(MemberId),
    /// A gateway is started again; it knows nothing.
    Start(MemberId),
    /// These gateways are cut off from all others; workers and clients are reached as before.
    Cut(Vec<MemberId>),
    /// All reach one another.
    Heal,
    /// A gateway's control thread stands still.
    Stall(MemberId, Micros),
    /// A gateway tells these figures in place of its own: capacity, and what comes of each pair.
    Lie(MemberId, f64, f64),
    /// A fault is planted in all.
    Plant(Fault),
    /// A fault is planted in all doors.
    PlantDoor(DoorFault),
}

/// What happened in one second.
#[derive(Clone, Debug, Default)]
pub struct Second {
    /// First tries.
    pub first: u32,
    /// First tries by tenant.
    pub first_of: BTreeMap<usize, u32>,
    /// Answered within the aim of the try.
    pub served: u32,
    /// Served by tenant.
    pub served_of: BTreeMap<usize, u32>,
    /// Worth served.
    pub worth: f64,
    /// Further tries that doors took by the budget.
    pub budgeted: u32,
    /// Further tries taken at the time told.
    pub booked: u32,
    /// Tries, whichever.
    pub tries: u32,
    /// Tries by clients that came at the time told, and those of them that were taken.
    pub on_time: (u32, u32),
    /// Refused or failed after the door.
    pub failed: u32,
    /// Tries by gateway that doors took.
    pub taken_by: BTreeMap<MemberId, u32>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival(usize),
    Try(u64),
    Done(Site, MemberId, u32, u64),
    Control(MemberId),
    Fact(MemberId, MemberId, u8, Vec<u8>),
    Notice(MemberId, MemberId, bool),
    Act(usize),
}

struct Call {
    class: usize,
    tenant: usize,
    site: Site,
    gateway: Option<MemberId>,
    began: Micros,
    tries: u32,
    honours: bool,
    on_time: bool,
    came: Micros,
    waited: Micros,
}

struct Gateway {
    up: bool,
    life: u32,
    doors: Vec<Door>,
    shed: Shed,
    table: Option<Table>,
    stalled: Micros,
    lie: Option<(f64, f64)>,
    /// By falling value: calls that wait.
    queue: BTreeMap<u64, VecDeque<u64>>,
    waiting: usize,
    in_hand: u32,
    /// Between answers while calls wait: mean, how many.
    pace: (f64, u32),
    last_answer: Micros,
    /// By tenant: what is left within its share here.
    within: Vec<f64>,
    within_at: Micros,
}

/// The fleet with its workers and clients.
pub struct World {
    bed: Bed,
    /// Now.
    pub now: Micros,
    gateways: Vec<Gateway>,
    busy: Vec<usize>,
    /// Calls in the queues of a site's workers, with the gateway that sent each, and its life.
    queued: Vec<VecDeque<(MemberId, u32, u64)>>,
    turn: Vec<MemberId>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    due: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    sequence: u64,
    rng: StdRng,
    acts: Vec<Act>,
    cut: Vec<bool>,
    live: Vec<Vec<bool>>,
    /// What happened, by second.
    pub seconds: Vec<Second>,
    faults: (Option<Fault>, Option<DoorFault>),
}

impl World {
    /// A fleet that has just been started, and what will be done to it.
    pub fn new(bed: Bed, seed: u64, acts: Vec<(Micros, Act)>) -> Self {
        let size = bed.size();
        let mut world = Self {
            now: 0,
            busy: vec![0; bed.sites.into()],
            queued: vec![VecDeque::new(); bed.sites.into()],
            turn: vec![0; bed.sites.into()],
            calls: BTreeMap::new(),
            next_call: 0,
            due: BinaryHeap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
            acts: Vec::new(),
            cut: vec![false; size.into()],
            live: vec![vec![true; size.into()]; size.into()],
            seconds: Vec::new(),
            gateways: Vec::new(),
            faults: (None, None),
            bed,
        };
        world.gateways = (0..size).map(|of| world.gateway(of, 0)).collect();
        for of in 0..size {
            let at = world.rng.random_range(0..STEP);
            world.later(at, Due::Control(of));
        }
        (0..world.bed.streams.len()).for_each(|stream| world.next_arrival(stream));
        for (at, act) in acts {
            world.acts.push(act);
            world.later(at, Due::Act(world.acts.len() - 1));
        }
        world
    }

    fn settings(&self, of: MemberId) -> ShedSettings {
        let sites = (0..self.bed.size()).map(|at| (at / self.bed.gateways) as Site).collect();
        let places = SiteMap::new(sites, of).unwrap_or_else(|| unreachable!("all are in the list"));
        let usual = ShedSettings::new(self.bed.classes.clone(), self.bed.quotas.clone(), places);
        ShedSettings { over_share_worth: self.bed.over_share_worth, loops: 2, ..usual }
    }

    fn gateway(&self, of: MemberId, life: u32) -> Gateway {
        let settings = self.settings(of);
        let mut doors: Vec<Door> =
            (0..settings.loops).map(|at| Door::new(self.now, settings.clone(), at)).collect();
        let mut shed = Shed::new(self.now, settings).unwrap_or_else(|error| unreachable!("{error}"));
        self.faults.0.into_iter().for_each(|fault| shed.plant(fault));
        self.faults.1.into_iter().for_each(|fault| doors.iter_mut().for_each(|door| door.plant(fault)));
        Gateway {
            up: true,
            life,
            doors,
            shed,
            table: None,
            stalled: 0,
            lie: None,
            queue: BTreeMap::new(),
            waiting: 0,
            in_hand: 0,
            pace: (0.0, 0),
            last_answer: 0,
            within: vec![0.0; self.bed.quotas.len()],
            within_at: 0,
        }
    }

    /// What a gateway's control thread believes of its site.
    pub fn believed(&self, of: MemberId) -> Option<f64> {
        self.gateways.get(usize::from(of))?.shed.capacity()
    }

    fn later(&mut self, at: Micros, due: Due) {
        self.sequence += 1;
        self.due.push(Reverse((at, self.sequence, due)));
    }

    fn second(&mut self) -> &mut Second {
        let at = (self.now / S) as usize;
        if self.seconds.len() <= at {
            self.seconds.resize_with(at + 1, Second::default);
        }
        &mut self.seconds[at]
    }

    fn next_arrival(&mut self, stream: usize) {
        let of = self.bed.streams[stream];
        let load =
            self.bed.load.iter().rev().find(|(from, _)| *from <= self.now).map_or(1.0, |(_, load)| *load);
        let rate = of.rate * if of.steady { 1.0 } else { load };
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate.max(1e-3) * 1e6;
        self.later(self.now + gap as Micros + 1, Due::Arrival(stream));
    }

    /// Runs until then.
    pub fn run(&mut self, until: Micros) {
        while let Some(Reverse((at, ..))) = self.due.peek()
            && *at <= until
        {
            let Some(Reverse((at, _, due))) = self.due.pop() else { return };
            self.now = at;
            match due {
                Due::Arrival(stream) => self.arrive(stream),
                Due::Try(id) => self.attempt(id),
                Due::Done(site, of, life, id) => self.done(site, of, life, id),
                Due::Control(of) => self.control(of),
                Due::Fact(to, from, key, value) => {
                    let gateway = &mut self.gateways[usize::from(to)];
                    if gateway.up && gateway.stalled <= at {
                        gateway.shed.heard(at, from, key, &value);
                    }
                }
                Due::Notice(who, of, live) => {
                    if self.reaches(who, of) == live {
                        self.live[usize::from(who)][usize::from(of)] = live;
                    }
                }
                Due::Act(act) => self.act(self.acts[act].clone()),
            }
        }
        self.now = until;
    }

    fn reaches(&self, who: MemberId, of: MemberId) -> bool {
        let (who, of) = (usize::from(who), usize::from(of));
        self.gateways[of].up && self.cut[who] == self.cut[of]
    }

    fn notice(&mut self) {
        for who in 0..self.bed.size() {
            for of in 0..self.bed.size() {
                let live = self.reaches(who, of);
                if self.live[usize::from(who)][usize::from(of)] != live {
                    self.later(self.now + NOTICE, Due::Notice(who, of, live));
                }
            }
        }
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Kill(of) => {
                let gateway = &mut self.gateways[usize::from(of)];
                gateway.up = false;
                gateway.queue.clear();
                gateway.life += 1;
                let lost: Vec<u64> = self
                    .calls
                    .iter()
                    .filter(|(_, call)| call.gateway == Some(of))
                    .map(|(id, _)| *id)
                    .collect();
                lost.into_iter().for_each(|id| self.again(id, None, 50_000));
            }
            Act::Start(of) => {
                let life = self.gateways[usize::from(of)].life + 1;
                self.gateways[usize::from(of)] = self.gateway(of, life);
            }
            Act::Cut(group) => group.iter().for_each(|of| self.cut[usize::from(*of)] = true),
            Act::Heal => self.cut.fill(false),
            Act::Stall(of, span) => self.gateways[usize::from(of)].stalled = self.now + span,
            Act::Lie(of, capacity, came) => self.gateways[usize::from(of)].lie = Some((capacity, came)),
            Act::Plant(fault) => {
                self.faults.0 = Some(fault);
                self.gateways.iter_mut().for_each(|gateway| gateway.shed.plant(fault));
            }
            Act::PlantDoor(fault) => {
                self.faults.1 = Some(fault);
                let doors = self.gateways.iter_mut().flat_map(|gateway| &mut gateway.doors);
                doors.for_each(|door| door.plant(fault));
            }
        }
        self.notice();
    }

    fn arrive(&mut self, stream: usize) {
        self.next_arrival(stream);
        let Stream { site, class, tenant, .. } = self.bed.streams[stream];
        let site = site.unwrap_or_else(|| self.rng.random_range(0..self.bed.sites));
        let honours = self.rng.random::<f64>() < self.bed.honour;
        let (id, began) = (self.next_call, self.now);
        self.next_call += 1;
        let call = Call {
            class,
            tenant,
            site,
            gateway: None,
            began,
            tries: 0,
            honours,
            on_time: false,
            came: began,
            waited: 0,
        };
        self.calls.insert(id, call);
        let second = self.second();
        second.first += 1;
        *second.first_of.entry(tenant).or_default() += 1;
        self.attempt(id);
    }

    /// A client tries, at the gateway that it used or another one.
    fn attempt(&mut self, id: u64) {
        let now = self.now;
        let Some(call) = self.calls.get(&id) else { return };
        let roams = call.gateway.is_none() || self.rng.random::<f64>() < self.bed.roam;
        let first = MemberId::from(call.site) * self.bed.gateways;
        let up: Vec<MemberId> =
            (first..first + self.bed.gateways).filter(|of| self.gateways[usize::from(*of)].up).collect();
        let of = match call.gateway {
            Some(of) if !roams && up.contains(&of) => of,
            _ if up.is_empty() => return self.again(id, None, 100_000),
            _ => up[self.rng.random_range(0..up.len())],
        };
        let Some(call) = self.calls.get_mut(&id) else { return };
        (call.gateway, call.came) = (Some(of), now);
        let (class, tenant, on_time) = (call.class, call.tenant, call.on_time);
        let asked = if call.tries > 0 && self.bed.marks { Asked::Retry } else { Asked::First };
        call.tries += 1;
        let gateway = &mut self.gateways[usize::from(of)];
        let door = (id % gateway.doors.len() as u64) as usize;
        let table = gateway.table.as_ref().filter(|_| self.bed.as_one);
        let verdict = gateway.doors[door].ask(now, table, class, tenant, asked, id);
        let second = self.second();
        second.tries += 1;
        second.on_time.0 += u32::from(on_time);
        match verdict {
            Verdict::Shed(after) => self.again(id, Some(after), 100_000),
            Verdict::Take => {
                second.on_time.1 += u32::from(on_time);
                *second.taken_by.entry(of).or_default() += 1;
                self.take(of, id);
            }
        }
    }

    /// A client comes again, or gives up.
    fn again(&mut self, id: u64, told: Option<Micros>, usual: Micros) {
        let (now, patience) = (self.now, self.bed.patience);
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.on_time = told.is_some() && call.honours;
        let wait = match told {
            // The header has whole seconds.
            Some(told) if call.honours => told.div_ceil(S).max(1) * S,
            _ => usual << call.tries.min(4),
        };
        if now + wait > call.began + patience {
            self.calls.remove(&id);
        } else {
            self.later(now + wait, Due::Try(id));
        }
    }

    /// The engine takes a call: it waits by its value, or is refused where those ahead take it past its aim.
    fn take(&mut self, of: MemberId, id: u64) {
        let now = self.now;
        let Some(call) = self.calls.get(&id) else { return };
        let (class, tenant) = (call.class, call.tenant);
        let all = f64::from(self.bed.size());
        let gateway = &mut self.gateways[usize::from(of)];
        let mut worth = self.bed.classes[class].worth;
        if !self.bed.quotas.is_empty() {
            let seconds = now.saturating_sub(gateway.within_at) as f64 / 1e6;
            gateway.within_at = now;
            for (left, quota) in gateway.within.iter_mut().zip(&self.bed.quotas) {
                let rate = quota / all;
                *left = (*left + rate * seconds).min(rate.max(1.0));
            }
            if gateway.within[tenant] >= 1.0 {
                gateway.within[tenant] -= 1.0;
            } else {
                worth *= self.bed.over_share_worth;
            }
        }
        let value = u64::MAX - (worth * 1e6) as u64;
        let ahead: usize = gateway.queue.range(..=value).map(|(_, waiting)| waiting.len()).sum();
        let (pace, known) = gateway.pace;
        let aim = self.bed.classes[class].aim;
        let excess = ahead as f64 * pace - aim as f64;
        if known >= 10 && gateway.waiting > 0 && excess > 0.0 {
            return self.refused(of, id, (excess as Micros).min(5 * S));
        }
        gateway.queue.entry(value).or_default().push_back(id);
        gateway.waiting += 1;
        gateway.in_hand += 1;
        let site = (of / self.bed.gateways) as Site;
        self.begin(site);
    }

    fn refused(&mut self, of: MemberId, id: u64, after: Micros) {
        let Some(call) = self.calls.get(&id) else { return };
        let gateway = &mut self.gateways[usize::from(of)];
        let door = (id % gateway.doors.len() as u64) as usize;
        let told = if self.bed.as_one {
            let table = gateway.table.as_ref();
            gateway.doors[door].refused(self.now, table, call.class, call.tenant, id)
        } else {
            after
        };
        self.second().failed += 1;
        self.again(id, Some(told), 100_000);
    }

    /// Workers with room in their queues are sent what waits, by the site's gateways in turn; free ones begin.
    fn begin(&mut self, site: Site) {
        let at = usize::from(site);
        let first = MemberId::from(site) * self.bed.gateways;
        let room = self.bed.workers * (self.bed.depth + 1);
        while self.busy[at] + self.queued[at].len() < room {
            let turn = self.turn[at];
            let next = (0..self.bed.gateways)
                .map(|step| first + (turn + step) % self.bed.gateways)
                .find(|of| self.gateways[usize::from(*of)].queue.values().any(|waiting| !waiting.is_empty()));
            let Some(of) = next else { break };
            self.turn[at] = (of - first + 1) % self.bed.gateways;
            let gateway = &mut self.gateways[usize::from(of)];
            let Some(id) = gateway.queue.values_mut().find_map(VecDeque::pop_front) else { break };
            gateway.waiting = gateway.waiting.saturating_sub(1);
            let Some(call) = self.calls.get_mut(&id) else { continue };
            if self.now > call.came + self.bed.classes[call.class].aim {
                gateway.in_hand = gateway.in_hand.saturating_sub(1);
                self.refused(of, id, S);
                continue;
            }
            call.waited = self.now - call.came;
            let life = gateway.life;
            self.queued[at].push_back((of, life, id));
            self.work(site);
        }
        self.work(site);
    }

    fn work(&mut self, site: Site) {
        let at = usize::from(site);
        while self.busy[at] < self.bed.workers
            && let Some((of, life, id)) = self.queued[at].pop_front()
        {
            self.busy[at] += 1;
            let half = self.bed.work as f64 / 2.0;
            let drawn = -(1.0 - self.rng.random::<f64>()).ln() * half;
            if let Some(call) = self.calls.get_mut(&id).filter(|_| self.bed.told) {
                call.waited = self.now - call.came;
            }
            self.later(self.now + (half + drawn) as Micros, Due::Done(site, of, life, id));
        }
    }

    fn done(&mut self, site: Site, of: MemberId, life: u32, id: u64) {
        let now = self.now;
        self.busy[usize::from(site)] -= 1;
        let gateway = &mut self.gateways[usize::from(of)];
        if gateway.life == life
            && let Some(call) = self.calls.remove(&id)
        {
            gateway.in_hand = gateway.in_hand.saturating_sub(1);
            if gateway.waiting > 0 {
                let gap = now.saturating_sub(gateway.last_answer) as f64;
                let weight = if gateway.pace.1 == 0 { 1.0 } else { 0.05 };
                gateway.pace = (gateway.pace.0 + weight * (gap - gateway.pace.0), gateway.pace.1 + 1);
            }
            gateway.last_answer = now;
            let in_time = now <= call.came + self.bed.classes[call.class].aim;
            let door = (id % gateway.doors.len() as u64) as usize;
            let ended = if in_time { Ended::Served(call.waited) } else { Ended::Late(call.waited) };
            gateway.doors[door].counted(call.class, call.tenant, ended);
            if in_time {
                let worth = self.bed.classes[call.class].worth;
                let second = self.second();
                second.served += 1;
                second.worth += worth;
                *second.served_of.entry(call.tenant).or_default() += 1;
            }
        }
        self.begin(site);
    }

    /// A gateway's control thread: counts in, table and facts out.
    fn control(&mut self, of: MemberId) {
        let now = self.now;
        self.later(now + STEP, Due::Control(of));
        let at = usize::from(of);
        let gateway = &mut self.gateways[at];
        if !gateway.up || gateway.stalled > now || !self.bed.as_one {
            return;
        }
        let loops = gateway.doors.len() as u32;
        let (mut budgeted, mut booked) = (0, 0);
        for (loop_no, door) in gateway.doors.iter_mut().enumerate() {
            let counts = door.take(now, gateway.in_hand / loops);
            budgeted += counts.by.iter().map(|count| count.budgeted).sum::<u32>();
            booked += counts.by.iter().map(|count| count.booked).sum::<u32>();
            gateway.shed.counted(now, loop_no, &counts);
        }
        gateway.table = Some(gateway.shed.table(now, &self.live[at]));
        let mut facts = gateway.shed.tell(now);
        if let Some((capacity, came)) = gateway.lie {
            facts.iter_mut().for_each(|(key, value)| crate::wire::lie(*key, value, capacity, came));
        }
        let second = self.second();
        second.budgeted += budgeted;
        second.booked += booked;
        for (key, value) in facts {
            for to in 0..self.bed.size() {
                let lost = self.rng.random::<f64>() < self.bed.facts.1;
                let late = self.rng.random_range(20_000..=self.bed.facts.0.max(20_000));
                if to != of && self.reaches(of, to) && !lost {
                    self.later(now + late, Due::Fact(to, of, key, value.clone()));
                }
            }
        }
    }
}

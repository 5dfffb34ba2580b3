//! What the control thread of a gateway makes of all counts and facts.

use crate::capacity::{Capacity, Seen};
use crate::peer_load::Peer;
use crate::retry_budget::{Carries, part};
use crate::settings::{ShedError, ShedSettings};
use crate::table::{Share, Table};
use crate::types::Counts;
use crate::water_filling::{Demand, admitted, within};
use crate::wire::{self, Head, Load, PAGES};
use basaltward_membership::{MemberId, Micros, SHED_KEYS};

/// Tables are made so often.
const STEP: Micros = 100_000;
/// What comes is taken as a mean that forgets by this time.
const FORGET: f64 = 1_000_000.0;
/// A gateway that is gone keeps what it last told of quotas and budgets for so long: it may be cut off.
const HELD: Micros = 30_000_000;
/// A share is at least this part of an even one of our site, whatever peers tell.
pub(crate) const LEAST: f64 = 0.25;
/// Pairs whose calls are all taken may take so much more than was seen, and the root of it at least: so far does a
/// count scatter by itself.
const HEADROOM: f64 = 0.25;
/// Of a pair's share so much goes to the loops evenly, for what has just moved between them.
const EVEN: f64 = 0.05;
/// A pair without a share still gets a call through in a while: calls a second, and as a part of all.
const TRICKLE: f64 = 0.5;
const TRICKLE_PART: f64 = 0.02;

/// Of what a peer says it answers at most so many times what we answer counts: no word of one among two raises our
/// belief past the three halves of what is true.
const MOST_TOLD: f64 = 2.0;
/// One in so many late or refused after the door stands for the wait wanted.
const MISSED: f64 = 20.0;

/// Faults that tests plant.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Each takes the fleet's whole budget of retries.
    Undivided,
}

/// One gateway's part in what the fleet sheds.
pub struct Shed {
    settings: ShedSettings,
    mark: u16,
    /// What comes to each loop, by pair.
    loops: Vec<Vec<Load>>,
    /// What each loop answers, calls a second.
    answered: Vec<f64>,
    in_hand: Vec<u32>,
    /// Since the last table.
    step: Step,
    /// For how long nothing has been answered though calls were in hand.
    stuck: Micros,
    capacity: Capacity,
    peers: Vec<Peer>,
    /// Facts as last told, and when.
    told: Vec<(Micros, Vec<u8>)>,
    count: u8,
    number: u64,
    last: Micros,
    next_tell: Micros,
    fault: Option<Fault>,
}

/// What has ended since the last table.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    answered: u32,
    waited: Micros,
    /// Answered late, or refused after the door.
    missed: u32,
    refused: u32,
    shed: bool,
}

/// A peer as it counts in one table.
struct Counted {
    of: MemberId,
    live: bool,
    head: Head,
    loads: Vec<Load>,
}

fn mark(settings: &ShedSettings) -> u16 {
    let worths = settings.classes.iter().map(|class| class.worth);
    let figures = worths.chain(settings.quotas.iter().copied()).chain([settings.over_share_worth]);
    let all = figures.map(f64::to_bits).chain([settings.classes.len() as u64]);
    let mixed = all.fold(0xcbf2_9ce4_8422_2325_u64, |mixed, bits| {
        (mixed ^ bits).wrapping_mul(0x0100_0000_01b3).rotate_left(23)
    });
    (mixed ^ mixed >> 16 ^ mixed >> 32 ^ mixed >> 48) as u16
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len().checked_sub(1)? / 2).copied()
}

impl Shed {
    /// Knows nothing yet: its tables take everything.
    ///
    /// # Errors
    /// Where the settings can't be used.
    pub fn new(now: Micros, settings: ShedSettings) -> Result<Self, ShedError> {
        settings.check()?;
        let (loops, cells) = (settings.loops, settings.cells());
        Ok(Self {
            mark: mark(&settings),
            loops: vec![vec![Load::default(); cells]; loops],
            answered: vec![0.0; loops],
            in_hand: vec![0; loops],
            step: Step::default(),
            stuck: 0,
            capacity: Capacity::new(settings.wait()),
            peers: vec![Peer::default(); settings.places.len()],
            told: vec![(0, Vec::new()); PAGES + 1],
            count: 0,
            number: 0,
            last: now,
            next_tell: now,
            fault: None,
            settings,
        })
    }

    /// Plants a fault.
    #[doc(hidden)]
    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    /// Calls a second that our site is believed to do; none until calls have waited.
    pub fn capacity(&self) -> Option<f64> {
        self.capacity.believed()
    }

    /// What a loop has counted. Counts of another number of pairs, or of a loop that is not there, are dropped.
    pub fn counted(&mut self, _now: Micros, loop_no: usize, counts: &Counts) {
        let cells = self.settings.cells();
        let Some(loads) = self.loops.get_mut(loop_no).filter(|_| counts.by.len() == cells && counts.span > 0)
        else {
            return;
        };
        let seconds = counts.span as f64 / 1e6;
        let weight = 1.0 - (-(counts.span as f64) / FORGET).exp();
        let learn = |rate: &mut f64, seen: u32| *rate += weight * (f64::from(seen) / seconds - *rate);
        let (mut answered, step) = (0, &mut self.step);
        for (load, count) in loads.iter_mut().zip(&counts.by) {
            learn(&mut load.came, count.came());
            learn(&mut load.first, count.first);
            learn(&mut load.retries, count.budgeted);
            answered += count.answered();
            step.waited += count.waited;
            step.missed += count.late + count.refused;
            step.refused += count.refused;
            step.shed |= count.shed > 0;
        }
        learn(&mut self.answered[loop_no], answered);
        self.in_hand[loop_no] = counts.in_hand;
        self.step.answered += answered;
    }

    /// A fact of a peer, as the board gives it now. It may be given again as long as it stands there.
    pub fn heard(&mut self, now: Micros, from: MemberId, key: u8, value: &[u8]) {
        let cells = self.settings.cells();
        if let Some(peer) = self.peers.get_mut(usize::from(from))
            && from != self.settings.places.own()
        {
            peer.take(now, key, value, cells);
        }
    }

    /// What comes to us, all loops together.
    fn own(&self) -> Vec<Load> {
        let sum = |cell: usize| {
            self.loops.iter().fold(Load::default(), |sum, of| Load {
                came: sum.came + of[cell].came,
                first: sum.first + of[cell].first,
                retries: sum.retries + of[cell].retries,
            })
        };
        (0..self.settings.cells()).map(sum).collect()
    }

    /// Facts of ours that are due, to be told for [`ShedSettings::stands`]: those that have changed, and those that
    /// were told a while ago.
    pub fn tell(&mut self, now: Micros) -> Vec<(u8, Vec<u8>)> {
        if now < self.next_tell {
            return Vec::new();
        }
        self.next_tell = now + self.settings.tell;
        self.count = self.count.wrapping_add(1);
        let (pages, rest) = wire::pages(self.own().into_iter().enumerate().collect(), self.count);
        let head = Head {
            mark: self.mark,
            capacity: self.capacity.believed().unwrap_or_default(),
            answered: self.answered.iter().sum(),
            wait: self.capacity.wait(),
            rest,
        };
        let renew = self.settings.stands / 3;
        let facts = [wire::head(&head, self.count)].into_iter().chain(pages);
        let mut due = Vec::new();
        for (key, (value, told)) in (SHED_KEYS).zip(facts.zip(&mut self.told)) {
            // The first byte counts tellings. A page that was never used need not be told.
            let changed = value.get(1..) != told.1.get(1..) && (value.len() > 1 || told.1.len() > 1);
            if changed || value.len() > 1 && now.saturating_sub(told.0) >= renew {
                *told = (now, value.clone());
                due.push((key, value));
            }
        }
        due
    }

    /// Peers that count: those that live and have told lately, and for quotas and budgets those that are gone and
    /// may be cut off.
    fn counting(&self, now: Micros, live: &[bool]) -> Vec<Counted> {
        let (own, cells) = (self.settings.places.own(), self.settings.cells());
        let of = |(of, peer): (usize, &Peer)| {
            let live = live.get(of).copied().unwrap_or_default();
            let within = if live { self.settings.stands } else { HELD };
            let head = *peer.head(now, within, self.mark)?;
            Some(Counted { of: of as MemberId, live, head, loads: peer.loads(now, within, cells) })
        };
        let all = self.peers.iter().enumerate().filter(|(of, _)| *of != usize::from(own));
        all.filter_map(of).collect()
    }

    fn learn(&mut self, now: Micros, peers: &[Counted]) {
        let span = now.saturating_sub(self.last).min(self.settings.stands);
        let step = std::mem::take(&mut self.step);
        let in_hand = self.in_hand.iter().any(|in_hand| *in_hand > 0);
        self.stuck = if step.answered == 0 && in_hand { self.stuck + span } else { 0 };
        let wait = match step.answered {
            0 if in_hand => Some(self.capacity.wait().max(self.stuck)),
            0 => None,
            answered => Some(step.waited / Micros::from(answered)),
        };
        // A queue that nobody tells of is seen by what it makes late.
        let ended = f64::from(step.answered + step.refused).max(1.0);
        let missed = f64::from(step.missed) / ended;
        let unseen = (self.settings.wait() as f64 * (missed * MISSED).min(3.0)) as Micros;
        let (wait, shed) = (wait.map(|wait| wait.max(unseen)), step.shed);
        let here = self.settings.places.own_site();
        let beside = || peers.iter().filter(|f| f.live && self.settings.places.site_of(f.of) == Some(here));
        let own = self.answered.iter().sum::<f64>();
        let answered = own + beside().map(|f| f.head.answered.min(own * MOST_TOLD)).sum::<f64>();
        let believed: Vec<f64> = beside().map(|f| f.head.capacity).filter(|told| *told > 0.0).collect();
        // One peer by itself is not believed by who has not learnt yet: it may be a liar.
        let alone = believed.len() == 1 && self.capacity.believed().is_none();
        let peers = median(believed).filter(|_| !alone);
        self.capacity.learn(&Seen { span, wait, answered, shed, peers });
    }

    /// The table that holds now, by who is believed to be living. One that has stood still for longer than facts are
    /// believed forgets what it was told, and what it counted meanwhile.
    pub fn table(&mut self, now: Micros, live: &[bool]) -> Table {
        if now.saturating_sub(self.last) > self.settings.stands {
            self.peers.iter_mut().for_each(|peer| *peer = Peer::default());
            self.step = Step::default();
            self.last = now;
        }
        let peers = self.counting(now, live);
        self.learn(now, &peers);
        self.last = now;
        self.number += 1;
        let until = now + self.settings.stands / 5;
        let room = self.capacity.admitted().zip(self.capacity.believed());
        let Some((room, believed)) = room else {
            return Table { number: self.number, until, shares: None, alone: None };
        };
        let shares = Some(self.by_loop(self.together(room, live, &peers)));
        let alone = Some(self.by_loop(self.alone(believed)));
        Table { number: self.number, until, shares, alone }
    }

    /// Our share as worked out from what all have told.
    fn together(&self, room: f64, live: &[bool], peers: &[Counted]) -> Share {
        let settings = &self.settings;
        let (places, cells, own) = (&settings.places, settings.cells(), self.own());
        let sites = places.sites();
        let mut totals: Vec<f64> = own.iter().map(|load| load.came).collect();
        let mut demand: Vec<Demand> = Vec::new();
        let mut ours = (vec![0.0; cells], 1);
        let silent = self.silent(live, peers);
        for site in &sites {
            let here = *site == places.own_site();
            let at = || peers.iter().filter(|f| places.site_of(f.of) == Some(*site));
            let told = at().filter(|f| f.live).map(|f| f.head.capacity).filter(|capacity| *capacity > 0.0);
            let room = if here { room } else { median(told.collect()).unwrap_or(f64::MAX) };
            // What is told counts at most for all that the site can do: more could not be taken there either way.
            let mut came = vec![0.0; cells];
            for peer in at() {
                for (cell, load) in peer.loads.iter().enumerate() {
                    let told = load.came.min(room);
                    totals[cell] += told;
                    came[cell] += if peer.live { told } else { 0.0 };
                }
            }
            let rest: f64 = at().filter(|f| f.live).map(|f| f.head.rest).sum();
            if here {
                ours.0 = own.iter().map(|load| load.came.min(room)).collect();
                came.iter_mut().zip(&ours.0).for_each(|(all, ours)| *all += ours);
                ours.1 += at().filter(|f| f.live).count() + silent;
            }
            // Pairs that no page has room for take their part of it unseen.
            let known: f64 = came.iter().sum();
            let part = if rest > 0.0 { known / (known + rest) } else { 1.0 };
            let part = if here { part * (ours.1 - silent) as f64 / ours.1 as f64 } else { part };
            demand.push(Demand { room: room * part, came });
        }
        let within_quota = within(settings, &totals, 1.0);
        let given = admitted(settings, &demand, &within_quota);
        let here = sites.iter().position(|site| *site == places.own_site()).unwrap_or_default();
        let (given, demand) = (&given[here], &demand[here]);
        let least = self.least(room / ours.1 as f64, &own, peers.len() + 1);
        let rate = |cell: usize| {
            let (all, ours) = (demand.came[cell], ours.0[cell]);
            let given = if all > 0.0 { given.came[cell] * ours / all } else { 0.0 };
            let more = if given >= 0.99 * ours { (given * HEADROOM).max(given.sqrt()) } else { 0.0 };
            (given + more).max(least[cell])
        };
        Share {
            rates: (0..cells).map(rate).collect(),
            spare: given.room / (ours.1 - silent) as f64,
            trickle: 0.0,
            retries: (0..cells).map(|cell| self.retries(cell, &own, peers)).collect(),
        }
    }

    /// How many live at our site without a word: they are taken to have an even part, as they do by a table past its
    /// time.
    fn silent(&self, live: &[bool], peers: &[Counted]) -> usize {
        let places = &self.settings.places;
        let lives = |of: &MemberId| *of != places.own() && live.get(usize::from(*of)) == Some(&true);
        let beside = places.members_at(places.own_site()).filter(lives);
        beside.filter(|of| !peers.iter().any(|peer| peer.of == *of)).count()
    }

    fn retries(&self, cell: usize, own: &[Load], peers: &[Counted]) -> f64 {
        let others: Vec<Carries> =
            peers.iter().map(|f| Carries { load: f.loads[cell], lends: f.live }).collect();
        if self.fault == Some(Fault::Undivided) {
            let all = others.iter().map(|other| other.load.first).sum::<f64>() + own[cell].first;
            return self.settings.retry_share * all;
        }
        part(self.settings.retry_share, own[cell], &others)
    }

    /// What we may take of calls within their quotas whatever peers tell: a part of an even share of our site.
    fn least(&self, even: f64, own: &[Load], gateways: usize) -> Vec<f64> {
        let came: Vec<f64> = own.iter().map(|load| load.came).collect();
        let within = within(&self.settings, &came, LEAST / gateways as f64);
        let came = came.iter().zip(&within).map(|(came, within)| came * within).collect();
        let all = vec![1.0; within.len()];
        admitted(&self.settings, &[Demand { room: even * LEAST, came }], &all).swap_remove(0).came
    }

    /// Our share without anybody's word: an even part of our site among all that are configured there.
    fn alone(&self, room: f64) -> Share {
        let (places, own) = (&self.settings.places, self.own());
        let room = room / places.members_at(places.own_site()).count().max(1) as f64;
        let came: Vec<f64> = own.iter().map(|load| load.came).collect();
        let within = within(&self.settings, &came, 1.0 / places.len() as f64);
        let given = admitted(&self.settings, &[Demand { room, came }], &within).swap_remove(0);
        let retries = own.iter().map(|load| 0.5 * self.settings.retry_share * load.first);
        Share { rates: given.came, spare: given.room, trickle: 0.0, retries: retries.collect() }
    }

    fn by_loop(&self, share: Share) -> Vec<Share> {
        let count = self.loops.len() as f64;
        let split = |at: usize, whole: &[f64], of: fn(&Load) -> f64| {
            let one = |(cell, whole): (usize, &f64)| {
                let all: f64 = self.loops.iter().map(|loads| of(&loads[cell])).sum();
                let part = if all > 0.0 { of(&self.loops[at][cell]) / all } else { 1.0 / count };
                whole * (part * (1.0 - EVEN) + EVEN / count)
            };
            whole.iter().enumerate().map(one).collect()
        };
        let all = share.rates.iter().sum::<f64>() + share.spare;
        let trickle = TRICKLE.min(all * TRICKLE_PART / share.rates.len() as f64) / count;
        let share = |at: usize| Share {
            rates: split(at, &share.rates, |load| load.came),
            spare: share.spare / count,
            trickle,
            retries: split(at, &share.retries, |load| load.first),
        };
        (0..self.loops.len()).map(share).collect()
    }

    /// When [`Shed::tell`] and [`Shed::table`] are due.
    pub fn next_due(&self) -> Micros {
        self.next_tell.min(self.last + STEP)
    }
}

//! Facts of load: a head, and pages of pairs of class and tenant. Rates go as one byte each, a twelfth of a doubling
//! apart, so that what is read is within 3% of what was told.

use basaltward_membership::{MAX_FACT_BYTES, Micros, SHED_KEYS};

/// The form of facts, in the two upper bits of their first byte; the others count tellings.
const FORMAT: u8 = 1;
/// Pages of pairs.
pub const PAGES: usize = (SHED_KEYS.end - SHED_KEYS.start - 1) as usize;

/// A gateway's load as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadSummary {
    /// Of the settings: who has others can't be counted with.
    pub settings_hash: u16,
    /// What its site can do, calls a second; 0 for not known.
    pub capacity: f64,
    /// Calls a second that it answers.
    pub answered: f64,
    /// What calls wait there.
    pub wait: Micros,
    /// Calls a second of pairs that no page has room for.
    pub unlisted: f64,
}

/// What comes of one pair, calls a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CellLoad {
    /// All that comes.
    pub arrivals: f64,
    /// First tries.
    pub first_attempts: f64,
    /// Retries taken by the budget.
    pub retries: f64,
}

/// A rate as one byte.
pub fn encode_rate(rate: f64) -> u8 {
    if rate < 0.24 { 0 } else { ((rate * 4.0).log2() * 12.0 + 1.0).round().clamp(1.0, 255.0) as u8 }
}

/// The rate that a byte stands for.
pub fn decode_rate(code: u8) -> f64 {
    if code == 0 { 0.0 } else { 0.25 * (f64::from(code - 1) / 12.0).exp2() }
}

fn first_byte(count: u8) -> u8 {
    FORMAT << 6 | count & 63
}

/// The head as a fact.
pub fn encode_summary(head: &LoadSummary, count: u8) -> Vec<u8> {
    let [low, high] = head.settings_hash.to_le_bytes();
    let wait = encode_rate(head.wait as f64 / 1e3);
    vec![
        first_byte(count),
        low,
        high,
        encode_rate(head.capacity),
        encode_rate(head.answered),
        wait,
        encode_rate(head.unlisted),
    ]
}

/// What a fact of the head says; none where it can't be read.
pub fn decode_summary(value: &[u8]) -> Option<LoadSummary> {
    let [first, low, high, capacity, answered, wait, rest] = *value else { return None };
    (first >> 6 == FORMAT).then(|| LoadSummary {
        settings_hash: u16::from_le_bytes([low, high]),
        capacity: decode_rate(capacity),
        answered: decode_rate(answered),
        wait: (decode_rate(wait) * 1e3) as Micros,
        unlisted: decode_rate(rest),
    })
}

/// The greatest of the pairs on pages, with what found no room.
pub fn encode_pages(mut loads: Vec<(usize, CellLoad)>, count: u8) -> (Vec<Vec<u8>>, f64) {
    loads.sort_by(|(a, x), (b, y)| y.arrivals.total_cmp(&x.arrivals).then(a.cmp(b)));
    let (mut pages, mut rest) = (vec![vec![first_byte(count)]; PAGES], 0.0);
    // Four or five bytes each: the index in one or two, then three rates.
    for (cell, load) in loads.into_iter().filter(|(_, load)| encode_rate(load.arrivals) > 0) {
        let low = (cell & 0x7f) as u8;
        let index = if cell < 0x80 { vec![low] } else { vec![low | 0x80, (cell >> 7) as u8] };
        match pages.iter_mut().find(|page| page.len() + index.len() + 3 <= MAX_FACT_BYTES) {
            Some(page) => {
                page.extend(index);
                page.extend([
                    encode_rate(load.arrivals),
                    encode_rate(load.first_attempts),
                    encode_rate(load.retries),
                ]);
            }
            None => rest += load.arrivals,
        }
    }
    (pages, rest)
}

/// The pairs on a page, those below `cells`; none where it can't be read.
pub fn decode_page(value: &[u8], cells: usize) -> Option<Vec<(usize, CellLoad)>> {
    let (first, mut left) = value.split_first()?;
    let mut loads: Vec<(usize, CellLoad)> = Vec::new();
    while let Some((low, after)) = left.split_first() {
        let (cell, after) = match (low & 0x80, after.split_first()) {
            (0, _) => (usize::from(*low), after),
            (_, Some((high, after))) => (usize::from(low & 0x7f) | usize::from(*high) << 7, after),
            _ => return None,
        };
        let (rates, after) = after.split_first_chunk::<3>()?;
        let [came, first, retries] = rates.map(decode_rate);
        if cell >= cells || loads.iter().any(|(known, _)| *known == cell) {
            return None;
        }
        loads.push((cell, CellLoad { arrivals: came, first_attempts: first, retries }));
        left = after;
    }
    (first >> 6 == FORMAT).then_some(loads)
}

/// A fact with other figures in it, as a liar tells them.
pub fn falsify(key: u8, value: &mut [u8], capacity: f64, came: f64) {
    if key == SHED_KEYS.start {
        value[3] = encode_rate(capacity);
        value[4] = encode_rate(capacity);
    } else if let Some(first) = value.first_chunk::<1>().copied() {
        let cells = decode_page(value, usize::MAX).unwrap_or_default();
        let lies = cells
            .into_iter()
            .map(|(cell, _)| (cell, CellLoad { arrivals: came, first_attempts: came, retries: 0.0 }));
        let (told, _) = encode_pages(lies.collect(), first[0]);
        let len = value.len().min(told[0].len());
        value[..len].copy_from_slice(&told[0][..len]);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};

    #[test]
    fn what_is_told_is_read_within_three_parts_of_a_hundred() {
        for told in [0.3, 1.0, 17.0, 999.0, 54_321.0, 400_000.0] {
            let read = decode_rate(encode_rate(told));
            assert!((read / told - 1.0).abs() < 0.03, "{told} as {read}");
        }
        let load = |came: f64| CellLoad { arrivals: came, first_attempts: came / 2.0, retries: 1.0 };
        let loads: Vec<_> = (0..60).map(|at| (at * 5, load(10.0 + at as f64))).collect();
        let (told, rest) = encode_pages(loads.clone(), 7);
        assert!(told.iter().all(|page| page.len() <= MAX_FACT_BYTES));
        let read: Vec<_> = told.iter().flat_map(|page| decode_page(page, 300).expect("readable")).collect();
        assert!(read.len() >= 24 && read.iter().all(|(cell, _)| *cell >= 5 * 30), "the greatest are told");
        let sum: f64 = read.iter().map(|(_, load)| load.arrivals).sum::<f64>() + rest;
        let all: f64 = loads.iter().map(|(_, load)| load.arrivals).sum();
        assert!((sum / all - 1.0).abs() < 0.02, "{sum} of {all}");
    }

    #[test]
    fn no_bytes_are_too_odd_to_be_refused_or_read() {
        let mut rng = StdRng::seed_from_u64(1);
        for _ in 0..20_000 {
            let mut value: Vec<u8> =
                (0..rng.random_range(0..=MAX_FACT_BYTES)).map(|_| rng.random()).collect();
            if let (Some(first), true) = (value.first_mut(), rng.random()) {
                *first = FORMAT << 6;
            }
            let read = decode_page(&value, 200).unwrap_or_default();
            assert!(read.iter().all(|(cell, load)| *cell < 200 && load.arrivals.is_finite()));
            decode_summary(&value);
        }
    }
}

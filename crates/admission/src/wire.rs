//! Encoding of published load facts: a summary, and pages of cells, each a (class, tenant) pair.
//!
//! A rate is encoded as one byte on a logarithmic scale of 12 steps per doubling, so that the decoded rate is within 3%
//! of the encoded one.

use basaltward_membership::{MAX_FACT_BYTES, Micros, SHED_KEYS};

/// Format version of the facts, in the two upper bits of their first byte; the other bits count publications.
const FORMAT_VERSION: u8 = 1;
/// Number of pages of cells.
pub const PAGES: usize = (SHED_KEYS.end - SHED_KEYS.start - 1) as usize;

/// Total load of a gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadSummary {
    /// Hash of the admission settings; peers with other settings are ignored.
    pub settings_hash: u16,
    /// Estimated capacity of the gateway's site in calls per second; 0 if unknown.
    pub capacity: f64,
    /// Calls per second that the gateway answers.
    pub answered: f64,
    /// Smoothed wait of calls at the gateway.
    pub wait: Micros,
    /// Arrivals per second of the cells that did not fit on a page.
    pub unlisted: f64,
}

/// Load of one cell in calls per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CellLoad {
    /// All arrivals.
    pub arrivals: f64,
    /// First attempts.
    pub first_attempts: f64,
    /// Retries admitted by the retry budget.
    pub retries: f64,
}

/// Encodes a rate as one byte; rates below 0.24 become 0, and those above 588,000 the highest code.
pub fn encode_rate(rate: f64) -> u8 {
    if rate < 0.24 { 0 } else { ((rate * 4.0).log2() * 12.0 + 1.0).round().clamp(1.0, 255.0) as u8 }
}

/// Decodes the rate of a byte.
pub fn decode_rate(code: u8) -> f64 {
    if code == 0 { 0.0 } else { 0.25 * (f64::from(code - 1) / 12.0).exp2() }
}

fn first_byte(count: u8) -> u8 {
    FORMAT_VERSION << 6 | count & 63
}

/// Encodes a load summary as a fact; `count` is the number of the publication.
pub fn encode_summary(summary: &LoadSummary, count: u8) -> Vec<u8> {
    let [low, high] = summary.settings_hash.to_le_bytes();
    let wait = encode_rate(summary.wait as f64 / 1e3);
    vec![
        first_byte(count),
        low,
        high,
        encode_rate(summary.capacity),
        encode_rate(summary.answered),
        wait,
        encode_rate(summary.unlisted),
    ]
}

/// Decodes a load summary; `None` if the length or format is wrong.
pub fn decode_summary(value: &[u8]) -> Option<LoadSummary> {
    let [first, low, high, capacity, answered, wait, unlisted] = *value else { return None };
    (first >> 6 == FORMAT_VERSION).then(|| LoadSummary {
        settings_hash: u16::from_le_bytes([low, high]),
        capacity: decode_rate(capacity),
        answered: decode_rate(answered),
        wait: (decode_rate(wait) * 1e3) as Micros,
        unlisted: decode_rate(unlisted),
    })
}

/// Encodes the cells with the highest arrival rates as pages, and returns the arrival rate of the cells that did not
/// fit. `count` is the number of the publication.
pub fn encode_pages(mut loads: Vec<(usize, CellLoad)>, count: u8) -> (Vec<Vec<u8>>, f64) {
    loads.sort_by(|(a, x), (b, y)| y.arrivals.total_cmp(&x.arrivals).then(a.cmp(b)));
    let (mut pages, mut unlisted) = (vec![vec![first_byte(count)]; PAGES], 0.0);
    // Each cell takes four or five bytes: its index in one or two, then three rates.
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
            None => unlisted += load.arrivals,
        }
    }
    (pages, unlisted)
}

/// Decodes the cells of a page; `None` if the page is malformed, lists a cell twice or an index of `cells` or more.
pub fn decode_page(value: &[u8], cells: usize) -> Option<Vec<(usize, CellLoad)>> {
    let (first, mut rest) = value.split_first()?;
    let mut loads: Vec<(usize, CellLoad)> = Vec::new();
    while let Some((low, next)) = rest.split_first() {
        let (cell, next) = match (low & 0x80, next.split_first()) {
            (0, _) => (usize::from(*low), next),
            (_, Some((high, next))) => (usize::from(low & 0x7f) | usize::from(*high) << 7, next),
            _ => return None,
        };
        let (rates, next) = next.split_first_chunk::<3>()?;
        let [arrivals, first_attempts, retries] = rates.map(decode_rate);
        if cell >= cells || loads.iter().any(|(listed, _)| *listed == cell) {
            return None;
        }
        loads.push((cell, CellLoad { arrivals, first_attempts, retries }));
        rest = next;
    }
    (first >> 6 == FORMAT_VERSION).then_some(loads)
}

/// Overwrites a fact with false rates, for tests of peers that report false load.
pub fn falsify(key: u8, value: &mut [u8], capacity: f64, arrivals: f64) {
    if key == SHED_KEYS.start {
        value[3] = encode_rate(capacity);
        value[4] = encode_rate(capacity);
    } else if let Some(first) = value.first_chunk::<1>().copied() {
        let cells = decode_page(value, usize::MAX).unwrap_or_default();
        let false_loads = cells
            .into_iter()
            .map(|(cell, _)| (cell, CellLoad { arrivals, first_attempts: arrivals, retries: 0.0 }));
        let (encoded, _) = encode_pages(false_loads.collect(), first[0]);
        let len = value.len().min(encoded[0].len());
        value[..len].copy_from_slice(&encoded[0][..len]);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};

    #[test]
    fn decoded_rates_are_within_three_percent_and_pages_hold_the_highest() {
        for rate in [0.3, 1.0, 17.0, 999.0, 54_321.0, 400_000.0] {
            let decoded = decode_rate(encode_rate(rate));
            assert!((decoded / rate - 1.0).abs() < 0.03, "{rate} decoded as {decoded}");
        }
        let load = |arrivals: f64| CellLoad { arrivals, first_attempts: arrivals / 2.0, retries: 1.0 };
        let loads: Vec<_> = (0..60).map(|at| (at * 5, load(10.0 + at as f64))).collect();
        let (encoded, rest) = encode_pages(loads.clone(), 7);
        assert!(encoded.iter().all(|page| page.len() <= MAX_FACT_BYTES));
        let decoded: Vec<_> =
            encoded.iter().flat_map(|page| decode_page(page, 300).expect("valid page")).collect();
        assert!(
            decoded.len() >= 24 && decoded.iter().all(|(cell, _)| *cell >= 5 * 30),
            "the cells with the highest rates are listed"
        );
        let sum: f64 = decoded.iter().map(|(_, load)| load.arrivals).sum::<f64>() + rest;
        let all: f64 = loads.iter().map(|(_, load)| load.arrivals).sum();
        assert!((sum / all - 1.0).abs() < 0.02, "{sum} of {all}");
    }

    #[test]
    fn random_bytes_are_rejected_or_decoded_within_bounds() {
        let mut rng = StdRng::seed_from_u64(1);
        for _ in 0..20_000 {
            let mut value: Vec<u8> =
                (0..rng.random_range(0..=MAX_FACT_BYTES)).map(|_| rng.random()).collect();
            if let (Some(first), true) = (value.first_mut(), rng.random()) {
                *first = FORMAT_VERSION << 6;
            }
            let decoded = decode_page(&value, 200).unwrap_or_default();
            assert!(decoded.iter().all(|(cell, load)| *cell < 200 && load.arrivals.is_finite()));
            decode_summary(&value);
        }
    }
}

//! The cases of the second review: `review-standin-2 CASE PROGRAM RECORD`. Exit code 0: the rule held; 1: it was
//! broken; 2: the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod cut_owner;
mod http;
mod keyed_window;
mod late_list;
mod owed;
mod platform;
mod relay;
mod returned_owner;
mod sites;
mod util;
mod worker;

use std::path::Path;
use util::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, program, record] = args.as_slice() else {
        eprintln!("usage: review-standin-2 CASE PROGRAM RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{error}");
            std::process::exit(2);
        }
    };
    record.line(&format!("case {case}, disruption: {trouble}"));
    util::limit_time(&record, 110_000);
    let program = Path::new(program);
    let verdict = match case.as_str() {
        "returned-owner" => returned_owner::run(&record, program, trouble),
        "cut-owner" => cut_owner::run(&record, program, trouble),
        "keyed-window" => keyed_window::run(&record, program, trouble),
        "late-list" => late_list::run(&record, program, trouble),
        "owed" => owed::run(&record, program, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    let (code, text) = match verdict {
        Ok(Verdict::Held) => (0, "rule held".to_owned()),
        Ok(Verdict::Broken(text)) => (1, format!("RULE BROKEN: {text}")),
        Err(error) => (2, format!("could not run: {error}")),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}

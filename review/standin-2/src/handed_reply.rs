//! Two sites of a gateway each. All workers of the first one drain, so that its calls are answered at the second one.
//! Clients look at the id of the reply.

use crate::Verdict;
use crate::http::{Call, exchange};
use crate::sites::{Cluster, Plan, write_roster};
use crate::util::{Record, sleep_ms};
use std::io::Error;
use std::path::Path;

const EVENTS: usize = 40;

/// The text under the percent-encoding of a header field.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let hex = tail.get(..2).and_then(|h| std::str::from_utf8(h).ok());
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()).filter(|_| *first == b'%') {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

pub fn run(record: &Record, program: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let cluster = Cluster::start(
        record,
        Plan {
            program: program.into(),
            sites: vec![0, 1],
            workers_per_site: 2,
            threads: 1,
            classes: "<class name=\"view\" aim-ms=\"750\" deadline-ms=\"2500\" repeat=\"safe\"/>".into(),
            functions: "<function name=\"echo\" class=\"view\" memory-mb=\"200\" lanes=\"16\" \
                        load-ms=\"300\"/>"
                .into(),
            further: String::new(),
            sites_attributes: "",
            load_ms: 300,
            work_ms: 20,
            relays: false,
        },
    )?;
    for gateway in 0..2 {
        if !cluster.warm_up(gateway, "echo", 8, 45_000) {
            return Err(Error::other("calls are not served"));
        }
    }
    sleep_ms(3_000);
    if trouble {
        record.line("all workers of the first site drain");
        write_roster(&cluster.folder.0, 0, &cluster.workers[0], "leaving")?;
        sleep_ms(3_000);
    }
    let (mut served, mut wrong) = (0, 0);
    for n in 0..EVENTS {
        // The name of a sheet, with a space, as a client library encodes it.
        let name = format!("Pucara hoja {n}");
        let event = Call {
            function: "echo".into(),
            id: name.replace(' ', "%20"),
            timeout_ms: 2_500,
            extra: String::new(),
        };
        match exchange(cluster.fronts[0], &event, 2_600) {
            Ok(reply) if reply.status() == 200 => {
                served += 1;
                let field = reply.field("ce-id").unwrap_or_default();
                let id = decode(field);
                record.line(&format!("event {name:?} is answered by a reply to {id:?} (ce-id: {field})"));
                wrong += usize::from(id != name);
            }
            Ok(reply) => record.line(&format!("event {name:?}: {}", reply.status())),
            Err(end) => record.line(&format!("event {name:?}: {end:?}")),
        }
        sleep_ms(50);
    }
    record.line(&format!("{served} of {EVENTS} served"));
    if served < EVENTS / 4 {
        return Err(Error::other("too few calls were served"));
    }
    Ok(match wrong {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("{count} of {served} replies name another event than the client's")),
    })
}

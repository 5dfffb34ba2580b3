//! Serves the simulator's line protocol on standard input and output.

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match basaltward_benchlink::run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("basaltward-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}

//! The `basaltward` program.

mod args;
mod demo;
mod embed;

use args::{Args, Command};
use clap::Parser;
use std::process::ExitCode;

/// Why a command did not do what it was asked.
pub enum Failed {
    /// What was given can't be used: exit code 2.
    Input(String),
    /// It was tried and went wrong: exit code 1.
    Run(String),
}

impl<E: std::error::Error> From<E> for Failed {
    fn from(error: E) -> Self {
        Self::Run(error.to_string())
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    args.log.start();
    let done = match args.command {
        Command::Demo(options) => demo::run(&options),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failed::Input(why)) => {
            eprintln!("{why}");
            ExitCode::from(2)
        }
        Err(Failed::Run(why)) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}

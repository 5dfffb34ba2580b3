//! The `basaltward` program.

mod args;
mod call;
mod demo;
mod fleet;
mod node;
mod operator;
mod play;
mod records;
mod report;
mod serve;
mod trial;
mod worker;

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
    // Lines are written by a thread of their own; its guard writes the last of them at the end.
    let _writer = args.log.start();
    let done = match &args.command {
        Command::Demo(options) => demo::run(options),
        Command::Serve(options) => serve::run(options),
        Command::Node(options) => node::run(options),
        Command::Worker(options) => worker::run(options),
        Command::Check(options) => serve::check(options),
        Command::Call(options) => call::run(options),
        Command::Play(options) => play::run(options),
        Command::Judge(options) => play::judge(options),
        Command::Fleet(options) => fleet::run(options),
        Command::Trial(options) => trial::run(options),
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

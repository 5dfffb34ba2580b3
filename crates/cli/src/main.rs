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

/// Why a command failed.
pub enum CommandError {
    /// The input is invalid: exit code 2.
    Input(String),
    /// The command failed while it ran, or a check found errors: exit code 1.
    Run(String),
}

impl<E: std::error::Error> From<E> for CommandError {
    fn from(error: E) -> Self {
        Self::Run(error.to_string())
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    // A separate thread writes the log lines; dropping its guard flushes the last of them.
    let _log_guard = args.log.start();
    let result = match &args.command {
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
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::Input(message)) => {
            eprintln!("{message}");
            ExitCode::from(2)
        }
        Err(CommandError::Run(message)) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

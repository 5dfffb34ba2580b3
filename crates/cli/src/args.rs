//! The command line: subcommands, flags and their help texts.

use clap::{Args as ClapArgs, Parser, Subcommand, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;
use tracing_appender::non_blocking::WorkerGuard;

/// Runs calls on workers that load functions when a call needs them.
#[derive(Parser)]
#[command(
    name = "basaltward",
    version,
    after_help = "Exit codes: 0 success, 1 the command failed or a rule was broken, 2 the input is invalid.

Examples:
  basaltward demo                        start everything on loopback and print a curl line
  basaltward demo --calls 1000           the same, make calls, print a summary and exit
  basaltward check gateway.xml           check settings; errors are reported with line and column
  basaltward serve --config gateway.xml  run a gateway until SIGTERM
  basaltward worker --listen 127.0.0.1:7001
  basaltward call --to 127.0.0.1:8080 echo --data hello
  basaltward play examples/play/bad-day.xml
  basaltward trial examples/trial/eight.xml"
)]
pub struct Args {
    #[command(flatten)]
    pub log: Log,
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Subcommand)]
pub enum Command {
    /// Run a gateway with stand-in workers in one process on loopback
    Demo(Demo),
    /// Run a gateway
    Serve(Serve),
    /// Run as the live scheduler of a platform, configured by NODE_CONFIG and NODE_LISTEN
    Node(Node),
    /// Run stand-in workers
    Worker(Worker),
    /// Check a settings file
    Check(Check),
    /// Send one event and print the response
    Call(Call),
    /// Run a scripted workload with faults on loopback and check it against the five rules
    Play(Play),
    /// Check records of earlier runs against the five rules
    Judge(Judge),
    /// Query and control a fleet of schedulers
    Fleet(Fleet),
    /// Run a scripted fleet of scheduler processes with faults between them, and check the result
    Trial(Trial),
}

/// Options of `fleet`.
#[derive(ClapArgs)]
pub struct Fleet {
    #[command(subcommand)]
    pub command: FleetCommand,
}

/// The subcommands of `fleet`.
#[derive(Subcommand)]
pub enum FleetCommand {
    /// Print a scheduler's membership view of its peers
    View {
        /// The scheduler's datagram address (`peer_listen`); it must list this host among its operators
        #[arg(long = "of", value_name = "ADDRESS")]
        scheduler: SocketAddr,
        /// Print one JSON object instead of text lines
        #[arg(long)]
        json: bool,
    },
    /// Print the agreed state: permits in force, the release, and whether the fleet is halted
    Status(OperatorOptions),
    /// Drain a worker and wait until no scheduler has requests in flight there
    Drain {
        /// The worker's name in the bulletin
        worker: String,
        /// Only check whether the worker could be drained now
        #[arg(long)]
        dry_run: bool,
        /// Longest wait for the permit and for the calls in flight, in seconds
        #[arg(long, default_value_t = 120)]
        wait: u64,
        #[command(flatten)]
        options: OperatorOptions,
    },
    /// End a worker's drain: it is used again, and counts as out of service until it is warm
    Back {
        /// The worker's name in the bulletin
        worker: String,
        #[command(flatten)]
        options: OperatorOptions,
    },
    /// Remove a permit, whatever is observed of its subject. This can't be undone
    WriteOff {
        /// The worker's name in the bulletin, or a scheduler's number with --scheduler
        subject: String,
        /// The subject is a scheduler
        #[arg(long)]
        scheduler: bool,
        #[command(flatten)]
        options: OperatorOptions,
    },
    /// Bring all schedulers to a version step by step with a program that restarts one; continues a started release
    Release {
        /// Restarts the scheduler whose number is its argument with the version; exits with 0 once that serves again
        #[arg(long, value_name = "PROGRAM")]
        run: PathBuf,
        /// The version, as named by `fleet.permits.version` in the configuration that the program installs
        #[arg(long, value_name = "NAME", required_unless_present = "back")]
        to: Option<String>,
        /// The version that all run now, needed for a later rollback
        #[arg(long, value_name = "NAME", default_value = "")]
        from: String,
        /// Roll back to the version that the current release started from, most recently started schedulers first
        #[arg(long, conflicts_with = "to")]
        back: bool,
        /// Print the current release and its progress without restarting anything
        #[arg(long)]
        dry_run: bool,
        /// Longest wait for each step, in seconds
        #[arg(long, default_value_t = 300)]
        wait: u64,
        #[command(flatten)]
        options: OperatorOptions,
    },
    /// Stop granting permits everywhere, at once
    Halt(OperatorOptions),
    /// End a halt
    Resume(OperatorOptions),
}

/// Options of the `fleet` subcommands that send a command to a scheduler.
#[derive(ClapArgs)]
pub struct OperatorOptions {
    /// Datagram addresses of schedulers (`peer_listen`), tried in turn; they must list this host as an operator
    #[arg(long = "of", value_name = "ADDRESS", required = true, value_delimiter = ',')]
    pub schedulers: Vec<SocketAddr>,
    /// Print JSON instead of text lines
    #[arg(long)]
    pub json: bool,
}

/// Options of `trial`.
#[derive(ClapArgs)]
pub struct Trial {
    /// The script
    pub script: PathBuf,
    /// Seed of the random choices, instead of the script's
    #[arg(long)]
    pub seed: Option<u64>,
    /// Write all records, and the timeline as text and as SVG, to this folder
    #[arg(long, value_name = "DIR")]
    pub records: Option<PathBuf>,
    /// Append the measured rows of a trial of hollow members to this file
    #[arg(long, value_name = "FILE")]
    pub csv: Option<PathBuf>,
}

/// Options of `node`.
#[derive(ClapArgs)]
pub struct Node {
    /// The configuration file, instead of the one that NODE_CONFIG names
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Write records of the socket traffic to this file, as JSON lines
    #[arg(long, value_name = "FILE")]
    pub records: Option<PathBuf>,
    /// Maintain the membership view of the fleet even if the configuration does not enable it
    #[arg(long)]
    pub view: bool,
}

/// Logging options.
#[derive(ClapArgs)]
pub struct Log {
    /// Format of the log lines on standard error
    #[arg(long, global = true, value_enum, default_value = "text")]
    pub log_format: LogFormat,
    /// Least severe level logged, or a filter such as `warn,basaltward::call=info`
    #[arg(long, global = true, default_value = "warn")]
    pub log: String,
}

/// Format of log lines.
#[derive(Clone, Copy, ValueEnum)]
pub enum LogFormat {
    /// Human-readable text
    Text,
    /// One JSON object per line
    Json,
}

impl Log {
    /// Starts logging for the process. A separate thread writes the lines; when its queue is full, lines are dropped
    /// so that no event loop blocks.
    pub fn start(&self) -> WorkerGuard {
        let filter = tracing_subscriber::EnvFilter::new(&self.log);
        let (writer, guard) = tracing_appender::non_blocking(std::io::stderr());
        let lines = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer);
        match self.log_format {
            LogFormat::Text => lines.with_ansi(false).init(),
            LogFormat::Json => lines.json().flatten_event(true).init(),
        }
        guard
    }
}

/// Options of `demo`.
#[derive(ClapArgs)]
pub struct Demo {
    /// Make this many calls, print a summary and exit; without it the gateway runs until interrupted
    #[arg(long)]
    pub calls: Option<usize>,
    /// Calls per second
    #[arg(long, default_value_t = 500.0)]
    pub rate: f64,
    /// Number of stand-in workers
    #[arg(long, default_value_t = 4)]
    pub workers: usize,
}

/// Options of `serve`.
#[derive(ClapArgs)]
pub struct Serve {
    /// The settings file
    #[arg(long, short)]
    pub config: PathBuf,
}

/// Options of `check`.
#[derive(ClapArgs)]
pub struct Check {
    /// The settings file
    pub file: PathBuf,
}

/// Options of `worker`.
#[derive(ClapArgs)]
pub struct Worker {
    /// Listen address; may be given several times, once per worker
    #[arg(long, required = true)]
    pub listen: Vec<SocketAddr>,
    /// Calls run concurrently
    #[arg(long, default_value_t = 4)]
    pub cores: u32,
    /// Memory for copies, MB
    #[arg(long, default_value_t = 12_096.0)]
    pub memory_mb: f64,
    /// Work of a call in milliseconds, unless its event sets `workus`
    #[arg(long, default_value_t = 5.0)]
    pub work_ms: f64,
    /// Duration of a load in milliseconds, most of it the fetch
    #[arg(long, default_value_t = 500.0)]
    pub load_ms: f64,
    /// Load a missing function while its call waits, instead of responding with a miss
    #[arg(long)]
    pub load_on_miss: bool,
    /// Write records of the socket traffic to this file, as JSON lines
    #[arg(long)]
    pub records: Option<PathBuf>,
}

/// Options of `call`.
#[derive(ClapArgs)]
pub struct Call {
    /// Address of the gateway
    #[arg(long)]
    pub to: SocketAddr,
    /// The function
    pub function: String,
    /// The event's id; generated if not given
    #[arg(long)]
    pub id: Option<String>,
    /// The event's source
    #[arg(long, default_value = "/basaltward/call")]
    pub source: String,
    /// The tenant
    #[arg(long)]
    pub tenant: Option<String>,
    /// How long the client waits for a response, in milliseconds
    #[arg(long, default_value_t = 2_500)]
    pub timeout_ms: u64,
    /// The payload
    #[arg(long, default_value = "")]
    pub data: String,
    /// The payload's media type
    #[arg(long, default_value = "text/plain")]
    pub content_type: String,
}

/// Options of `play`.
#[derive(ClapArgs)]
pub struct Play {
    /// The script
    pub script: PathBuf,
    /// Seed of the random choices, instead of the script's
    #[arg(long)]
    pub seed: Option<u64>,
    /// Write all records to this file, as JSON lines
    #[arg(long)]
    pub records: Option<PathBuf>,
}

/// Options of `judge`.
#[derive(ClapArgs)]
pub struct Judge {
    /// The settings file that the run was made with
    #[arg(long, short)]
    pub config: PathBuf,
    /// Record files of clients, gateways and workers of one machine
    #[arg(required = true)]
    pub records: Vec<PathBuf>,
}

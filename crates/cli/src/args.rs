use clap::{Args as ClapArgs, Parser, Subcommand, ValueEnum};

/// Runs calls on workers that load functions when a call needs them.
#[derive(Parser)]
#[command(name = "basaltward", version, after_help = "Examples:
  basaltward demo                          start everything on loopback and print a curl line
  basaltward demo --calls 1000             the same, make calls, print a summary and end")]
pub struct Args {
    #[command(flatten)]
    pub log: Log,
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Subcommand)]
pub enum Command {
    /// Run a gateway with stand-in workers in one process on loopback
    Demo(Demo),
}

/// How to log.
#[derive(ClapArgs)]
pub struct Log {
    /// Form of the log lines on standard error
    #[arg(long, global = true, value_enum, default_value = "text")]
    pub log_format: LogFormat,
    /// Least severe level logged, or a filter such as `warn,basaltward::call=info`
    #[arg(long, global = true, default_value = "warn")]
    pub log: String,
}

/// Form of log lines.
#[derive(Clone, Copy, ValueEnum)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

impl Log {
    /// Starts logging for the process.
    pub fn start(&self) {
        let filter = tracing_subscriber::EnvFilter::new(&self.log);
        let lines = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
        match self.log_format {
            LogFormat::Text => lines.init(),
            LogFormat::Json => lines.json().flatten_event(true).init(),
        }
    }
}

/// Options of `demo`.
#[derive(ClapArgs)]
pub struct Demo {
    /// Make this many calls, print a summary and end; without it the gateway runs until interrupted
    #[arg(long)]
    pub calls: Option<usize>,
    /// Calls a second
    #[arg(long, default_value_t = 500.0)]
    pub rate: f64,
    /// Stand-in workers
    #[arg(long, default_value_t = 4)]
    pub workers: usize,
}

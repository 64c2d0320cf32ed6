//! The commands `entry`, `agent` and `stand-ins`, which run until a signal stops them.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::ResultExt as _;
use testutils::stand_ins::{Placed, Service, StandIns};
use trestleknot_lib::agent_daemon::{AgentDaemon, AgentStart, http_target};
use trestleknot_lib::entry_daemon::{EntryDaemon, EntryListeners, EntryStart};
use trestleknot_lib::memory_platform::{MemoryLog, MemoryVmList};
use trestleknot_lib::memory_target::{MemoryTarget, StartRecord};
use trestleknot_lib::platform_thread::http_platform;
use trestleknot_lib::settings::{self, AgentSettings, EntrySettings};

use crate::error::{CliResult, SystemSnafu};

/// Number of records that the log stand-in retains.
const LOG_CAPACITY: usize = 10_000;
/// How often signals and the daemon's end are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn settings_path(args: &ArgMatches) -> PathBuf {
    let path = args.get_one::<PathBuf>("settings");
    path.expect("clap requires it").clone()
}

/// A daemon that can drain before it stops.
trait Daemon {
    fn drain(&self);
    fn is_finished(&self) -> bool;
}

impl Daemon for EntryDaemon {
    fn drain(&self) {
        EntryDaemon::drain(self);
    }

    fn is_finished(&self) -> bool {
        EntryDaemon::is_finished(self)
    }
}

impl Daemon for AgentDaemon {
    fn drain(&self) {
        AgentDaemon::drain(self);
    }

    fn is_finished(&self) -> bool {
        AgentDaemon::is_finished(self)
    }
}

/// Runs a daemon until it finishes. The first signal drains it and a second one stops it at once.
fn run_until_stopped(daemon: &impl Daemon) -> CliResult<ExitCode> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).context(SystemSnafu { what: "signals" })?;
    let mut draining = false;
    loop {
        for _ in signals.pending() {
            if draining {
                return Ok(ExitCode::FAILURE);
            }
            draining = true;
            daemon.drain();
        }
        if daemon.is_finished() {
            return Ok(ExitCode::SUCCESS);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Runs an entry.
pub fn entry(args: &ArgMatches) -> CliResult<ExitCode> {
    let settings: EntrySettings = settings::load(&settings_path(args))?;
    let listeners = EntryListeners::bind(&settings).context(SystemSnafu { what: "listening" })?;
    let daemon = EntryDaemon::start(EntryStart {
        platform: http_platform(&settings),
        settings,
        listeners,
        placement: None,
    });
    let daemon = daemon.context(SystemSnafu { what: "starting" })?;
    run_until_stopped(&daemon)
}

/// Runs an agent.
pub fn agent(args: &ArgMatches) -> CliResult<ExitCode> {
    let settings: AgentSettings = settings::load(&settings_path(args))?;
    let listener = TcpListener::bind(settings.operator_listen);
    let incarnation = rand::random();
    let daemon = AgentDaemon::start(AgentStart {
        operators: listener.context(SystemSnafu { what: "listening" })?,
        target: http_target(&settings, incarnation),
        settings,
        incarnation,
    });
    let daemon = daemon.context(SystemSnafu { what: "starting" })?;
    run_until_stopped(&daemon)
}

/// Runs stand-ins until a signal arrives.
pub fn stand_ins(args: &ArgMatches) -> CliResult<ExitCode> {
    let base = *args.get_one::<u16>("base-port").expect("has a default");
    let targets = *args.get_one::<u16>("targets").expect("has a default");
    let slots = *args.get_one::<u32>("slots").expect("has a default") as usize;
    let starts = StartRecord::default();
    let mut services = vec![
        Service::Log(MemoryLog::with_retention(LOG_CAPACITY)),
        Service::VmList(MemoryVmList::default()),
    ];
    let new_target = || Service::Target(MemoryTarget::new(slots, starts.clone()));
    services.extend((0..targets).map(|_| new_target()));
    let started = start_stand_ins(services, base).context(SystemSnafu { what: "stand-ins" })?;
    println!("log      {}", started.url(0));
    println!("VM list  {}", started.url(1));
    for index in 0..targets as usize {
        println!("target   {}", started.url(2 + index));
    }
    let mut signals = Signals::new([SIGTERM, SIGINT]).context(SystemSnafu { what: "signals" })?;
    signals.forever().next();
    Ok(ExitCode::SUCCESS)
}

fn start_stand_ins(services: Vec<Service>, base: u16) -> io::Result<StandIns> {
    let placed = services
        .into_iter()
        .zip(base..)
        .map(|(service, port)| Placed {
            service,
            listen: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port),
        });
    StandIns::start(placed.collect())
}

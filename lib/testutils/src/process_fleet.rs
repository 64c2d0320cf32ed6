//! A fleet of the real programs as processes on loopback addresses, one address per VM, with
//! stand-ins for the platform.
//!
//! Processes are ended by their ids only, also when the fleet is dropped.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ntex::http::Method;
use platform::client::PlatformClient;
use platform::names;
use platform::settings::PATH_VARIABLE;
pub use platform::stand_in_format::HALL;
use platform::stand_in_format::{self, PlainBatch, SettingsPlan};
use trestleknot_lib::queue::{Queue, QueueTable, RequestLimits};
use trestleknot_lib::resources::Resources;

use crate::fault_proxy::FaultProxy;
use crate::foreign_writer;
use crate::platform_stand_ins::{self, Running, StandIn, StoreStandIn, TargetStandIn};
use crate::run_target::{RunTarget, SERVICE};

/// Longest lease that targets grant, as in the settings.
const LONGEST_LEASE: Duration = Duration::from_secs(15);
/// Longest time that a target's clock shows at the start of an incarnation.
const LATEST_CLOCK_MS: u64 = 20_000;
/// Port for callers. The next two ports serve readiness checks and target reports.
const CALLER_PORT: u16 = 8161;
/// Port of links between processes.
const LINK_PORT: u16 = 7720;
/// Port of stand-ins.
const STAND_IN_PORT: u16 = 8169;
/// Host of the queue.
pub const HOST: &str = "queue.example";
/// Path of the queue.
pub const PREFIX: &str = "/q/";
/// Capacity of each target: eight tasks.
pub const TARGET_CAPACITY: Resources = Resources {
    cpu_millis: 16_000,
    memory_mib: 65_536,
    accelerators: 0,
};
/// Memory of a target whose CPU capacity is reduced.
pub const TARGET_MEMORY: Resources = Resources {
    cpu_millis: 0,
    memory_mib: TARGET_CAPACITY.memory_mib,
    accelerators: 0,
};
/// Resources of each task. It takes no memory, which leaves CPU as the only limit.
pub const TASK_SIZE: Resources = Resources {
    cpu_millis: 2_000,
    memory_mib: 0,
    accelerators: 0,
};

/// Longest delay of an order to a target: the longest proxy fault plus one call.
const LATE_ORDER_GRACE: Duration = Duration::from_secs(3);

/// Program that a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Entry,
    Agent,
}

/// Signal to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Drain and stop (SIGTERM).
    Term,
    /// End immediately (SIGKILL).
    Kill,
    /// Suspend (SIGSTOP).
    Stop,
    /// Resume (SIGCONT).
    Continue,
    /// Reload the settings (SIGHUP).
    Hangup,
}

impl Signal {
    fn number(self) -> i32 {
        match self {
            Self::Term => libc::SIGTERM,
            Self::Kill => libc::SIGKILL,
            Self::Stop => libc::SIGSTOP,
            Self::Continue => libc::SIGCONT,
            Self::Hangup => libc::SIGHUP,
        }
    }
}

/// A process of the fleet.
pub struct Process {
    /// Process name, also of its settings and log files.
    pub name: String,
    /// Program that it runs.
    pub role: Role,
    /// Path of the settings file.
    pub settings: PathBuf,
    child: Option<Child>,
}

/// A fleet of processes with its stand-ins and fault proxies.
pub struct ProcessFleet {
    program: PathBuf,
    folder: PathBuf,
    network: u8,
    /// The stand-in store.
    pub store: StoreStandIn,
    /// The stand-in targets.
    pub targets: Vec<TargetStandIn>,
    /// Entries first, then agents.
    pub processes: Vec<Process>,
    /// Proxies between each process and the store.
    pub store_proxies: Vec<FaultProxy>,
    /// Proxies between each agent and its target.
    pub target_proxies: Vec<FaultProxy>,
    /// Proxies between callers and each entry, at [`Self::caller_address`].
    pub caller_proxies: Vec<FaultProxy>,
    entries: usize,
    version: u64,
    _stand_ins: Vec<Running>,
}

/// Address of VM `host` in the fleet's network: 127.`network`.0.`host`.
fn address(network: u8, host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, network, 0, host)), port)
}

/// First hosts of entries, agents and targets, and the store's host.
const ENTRY_HOST: u8 = 10;
const AGENT_HOST: u8 = 50;
const TARGET_HOST: u8 = 150;
const STORE_HOST: u8 = 2;
/// First hosts of the proxies to the store (one for each process), the targets and the entries.
const STORE_PROXY_HOST: u8 = 90;
const TARGET_PROXY_HOST: u8 = 190;
const CALLER_PROXY_HOST: u8 = 210;

impl ProcessFleet {
    /// Starts a fleet. `network` must differ between fleets that run at the same time. Settings and
    /// log files are written to `folder`.
    pub fn start(
        program: &Path,
        folder: &Path,
        network: u8,
        entries: usize,
        agents: usize,
    ) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let origin = Instant::now();
        let store = StoreStandIn::default();
        store.leave_odd_records(foreign_writer::odd_records());
        let mut stand_ins = vec![platform_stand_ins::start(
            address(network, STORE_HOST, STAND_IN_PORT),
            StandIn::Store(store.clone()),
        )?];
        let mut targets = Vec::new();
        for index in 0..agents {
            let target = RunTarget::new(&format!("target-{index}"), TARGET_CAPACITY, 1.0)
                .with_lease(LONGEST_LEASE)
                .with_clock_start(LATEST_CLOCK_MS)
                .with_room_grace(LATE_ORDER_GRACE);
            let target = TargetStandIn::new(origin, target);
            let listen = address(network, TARGET_HOST + index as u8, STAND_IN_PORT);
            stand_ins.push(platform_stand_ins::start(
                listen,
                StandIn::Target(target.clone()),
            )?);
            targets.push(target);
        }
        let mut fleet = Self {
            program: program.to_owned(),
            folder: folder.to_owned(),
            network,
            store,
            targets,
            processes: Vec::new(),
            store_proxies: Vec::new(),
            target_proxies: Vec::new(),
            caller_proxies: Vec::new(),
            entries,
            version: 0,
            _stand_ins: stand_ins,
        };
        fleet.publish();
        for index in 0..entries {
            fleet.add(Role::Entry, index)?;
        }
        for index in 0..agents {
            fleet.add(Role::Agent, index)?;
        }
        Ok(fleet)
    }

    /// Publishes a new version of the configuration.
    pub fn publish(&mut self) {
        self.version += 1;
        self.store.publish(&table(self.version));
    }

    fn add(&mut self, role: Role, index: usize) -> io::Result<()> {
        let host = match role {
            Role::Entry => ENTRY_HOST,
            Role::Agent => AGENT_HOST,
        };
        let name = format!("{role:?}-{index}").to_lowercase();
        let store = self.proxy_to_store()?;
        let target = match role {
            Role::Agent => Some(self.proxy_to_target(index)?),
            Role::Entry => {
                let proxy =
                    FaultProxy::start(self.caller_address(index), self.entry_address(index));
                self.caller_proxies.push(proxy?);
                None
            }
        };
        let entry_addresses = (0..self.entries.min(3)).map(|i| self.entry_link(i));
        let plan = SettingsPlan {
            name: name.clone(),
            ip: address(self.network, host + index as u8, 0).ip(),
            port: CALLER_PORT,
            link_port: LINK_PORT,
            seeds: entry_addresses.collect(),
            store,
            target,
        };
        let settings = self.folder.join(format!("{name}.yaml"));
        fs::write(&settings, stand_in_format::encode_settings(&plan))?;
        self.processes.push(Process {
            name,
            role,
            settings,
            child: None,
        });
        let index = self.processes.len() - 1;
        self.start_process(index)
    }

    /// Starts the proxy to the store for the process that is added next.
    fn proxy_to_store(&mut self) -> io::Result<SocketAddr> {
        let host = STORE_PROXY_HOST + self.processes.len() as u8;
        let listen = address(self.network, host, STAND_IN_PORT);
        let store = address(self.network, STORE_HOST, STAND_IN_PORT);
        self.store_proxies.push(FaultProxy::start(listen, store)?);
        Ok(listen)
    }

    /// Starts the proxy between an agent and its target.
    fn proxy_to_target(&mut self, index: usize) -> io::Result<SocketAddr> {
        let listen = address(self.network, TARGET_PROXY_HOST + index as u8, STAND_IN_PORT);
        let target = address(self.network, TARGET_HOST + index as u8, STAND_IN_PORT);
        self.target_proxies.push(FaultProxy::start(listen, target)?);
        Ok(listen)
    }

    /// Address of an entry for callers, through its proxy.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        address(self.network, CALLER_PROXY_HOST + index as u8, CALLER_PORT)
    }

    fn entry_link(&self, index: usize) -> SocketAddr {
        address(self.network, ENTRY_HOST + index as u8, LINK_PORT)
    }

    /// Address of an entry for callers, without the proxy.
    pub fn entry_address(&self, index: usize) -> SocketAddr {
        address(self.network, ENTRY_HOST + index as u8, CALLER_PORT)
    }

    /// Address of an agent for target reports.
    pub fn agent_address(&self, index: usize) -> SocketAddr {
        address(self.network, AGENT_HOST + index as u8, CALLER_PORT + 2)
    }

    /// Starts a process that isn't running.
    pub fn start_process(&mut self, index: usize) -> io::Result<()> {
        let process = &mut self.processes[index];
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", process.name)))?;
        let command = match process.role {
            Role::Entry => "serve-entry",
            Role::Agent => "serve-agent",
        };
        let child = Command::new(&self.program)
            .arg(command)
            .env(PATH_VARIABLE, &process.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        process.child = Some(child);
        Ok(())
    }

    /// Whether a process is running or suspended.
    pub fn is_running(&mut self, index: usize) -> bool {
        let process = &mut self.processes[index];
        let Some(child) = &mut process.child else {
            return false;
        };
        if matches!(child.try_wait(), Ok(None)) {
            return true;
        }
        process.child = None;
        false
    }

    /// Sends a signal to a process if it is running.
    pub fn signal(&mut self, index: usize, signal: Signal) {
        if !self.is_running(index) {
            return;
        }
        if let Some(child) = &self.processes[index].child {
            // SAFETY: the child hasn't been waited for, so its id can't have been reused.
            unsafe {
                libc::kill(child.id() as i32, signal.number());
            }
        }
    }

    /// Waits until a process has ended. Returns false after `limit`.
    pub fn await_end(&mut self, index: usize, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if !self.is_running(index) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Log output of a process.
    pub fn log(&self, index: usize) -> String {
        let path = self
            .folder
            .join(format!("{}.log", self.processes[index].name));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Addresses of all agents for target reports.
    pub fn agent_addresses(&self) -> Vec<SocketAddr> {
        (0..self.targets.len())
            .map(|i| self.agent_address(i))
            .collect()
    }
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(child) = &mut process.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

fn table(version: u64) -> QueueTable {
    QueueTable {
        version,
        queues: vec![Arc::new(Queue {
            name: "q".into(),
            host: HOST.to_owned(),
            path_prefix: PREFIX.to_owned(),
            service: SERVICE.into(),
            priority: 0,
            max_attempts: 3,
            stretch: 1.6,
            target_latency: Duration::from_millis(60),
            needs_advice: false,
        })],
        limits: RequestLimits { body_bytes: 65_536 },
    }
}

/// Submits a batch of tasks that each take `work_ms`. Returns none if there is no answer.
pub async fn submit(
    client: &PlatformClient,
    id: u64,
    count: u32,
    work_ms: u64,
    limit: Duration,
) -> Option<(u16, String)> {
    submit_and_leave(client, id, (count, work_ms), limit, limit).await
}

/// Submits a batch of `count` tasks of `work_ms` each, with this deadline, and disconnects after `limit`.
pub async fn submit_and_leave(
    client: &PlatformClient,
    id: u64,
    (count, work_ms): (u32, u64),
    deadline: Duration,
    limit: Duration,
) -> Option<(u16, String)> {
    let body = stand_in_format::encode_batch(&PlainBatch {
        payload: &work_ms.to_string(),
        count,
        cpu_millis: TASK_SIZE.cpu_millis,
        estimate: Duration::from_millis(work_ms),
    });
    let request = client
        .request(Method::POST, &format!("{PREFIX}{id:016x}"))
        .header("host", HOST)
        .header(names::DEADLINE, deadline.as_millis().to_string())
        .content_type("application/json");
    let answer = PlatformClient::call(request, body.into_bytes(), limit)
        .await
        .ok()?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    Some((answer.status.as_u16(), text))
}

/// Whether an entry reports itself ready.
pub async fn is_ready(entry: SocketAddr) -> bool {
    let ready = SocketAddr::new(entry.ip(), entry.port() + 1);
    let client = PlatformClient::new(&ready.to_string()).await;
    let request = client.request(Method::GET, names::READY);
    let answer = PlatformClient::call(request, Vec::new(), Duration::from_millis(300)).await;
    answer.is_ok_and(|a| a.status.as_u16() == 200)
}

/// Waits until all entries are ready. Returns false after `limit`.
pub async fn await_ready(entries: &[SocketAddr], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    for entry in entries {
        while !is_ready(*entry).await {
            if Instant::now() > until {
                return false;
            }
            ntex::time::sleep(Duration::from_millis(20)).await;
        }
    }
    true
}

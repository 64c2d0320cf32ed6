//! A fleet in one process: the real daemons on loopback sockets, with stand-ins for the platform.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use trestleknot_lib::agent_daemon::{AgentDaemon, AgentStart, http_target};
use trestleknot_lib::config_chain::LogRecord;
use trestleknot_lib::config_document::{Document, Team};
use trestleknot_lib::entry_daemon::{EntryDaemon, EntryListeners, EntryStart};
use trestleknot_lib::http_api::hash_key;
use trestleknot_lib::memory_platform::{MemoryLog, MemoryVmList};
use trestleknot_lib::memory_target::{MemoryTarget, StartRecord};
use trestleknot_lib::placement::PlacementMode;
use trestleknot_lib::platform_thread::http_platform;
use trestleknot_lib::settings::{AgentSettings, EntrySettings};
use trestleknot_lib::vm_list::{VmRecord, VmRole, VmState};

use crate::stand_ins::{Placed, Service, StandIns};

/// Fleet secret of embedded fleets.
pub const SECRET: &str = "an embedded fleet's secret";
/// Any free loopback port.
const ANY_PORT: &str = "127.0.0.1:0";
/// Index of the log among the stand-ins.
const LOG_INDEX: usize = 0;
/// Index of the VM list among the stand-ins.
const VM_LIST_INDEX: usize = 1;
/// Index of the first target among the stand-ins.
const FIRST_TARGET_INDEX: usize = 2;

/// Size and configuration of a fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Number of entries.
    pub entries: usize,
    /// Number of targets.
    pub targets: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Data halls, assigned round-robin.
    pub halls: Vec<String>,
    /// Teams with their keys and quotas.
    pub teams: Vec<TeamPlan>,
    /// Overrides the configuration's placement.
    pub placement: Option<PlacementMode>,
    /// Base URL of an OTLP trace collector.
    pub otlp_url: Option<String>,
}

/// A team of a fleet.
#[derive(Debug, Clone)]
pub struct TeamPlan {
    /// Name of the team.
    pub name: String,
    /// API key.
    pub key: String,
    pub quota: u32,
}

pub struct FleetEntry {
    /// Name on the VM list.
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// The daemon; none once it is stopped.
    pub daemon: Option<EntryDaemon>,
}

/// A target of a fleet with its agent.
pub struct FleetTarget {
    /// Name on the VM list.
    pub name: String,
    /// The stand-in target.
    pub target: MemoryTarget,
    /// The agent; none once it is stopped.
    pub agent: Option<AgentDaemon>,
}

/// A running fleet.
pub struct Fleet {
    pub entries: Vec<FleetEntry>,
    pub targets: Vec<FleetTarget>,
    /// The stand-in log.
    pub log: MemoryLog,
    /// The stand-in VM list.
    pub vms: MemoryVmList,
    /// Task starts on all targets.
    pub starts: StartRecord,
    plan: FleetPlan,
    stand_ins: StandIns,
}

impl Fleet {
    /// Starts a fleet and applies a configuration with the plan's teams.
    pub fn start(plan: FleetPlan) -> io::Result<Self> {
        let log = MemoryLog::default();
        let vms = MemoryVmList::default();
        let starts = StartRecord::default();
        let targets: Vec<MemoryTarget> = (0..plan.targets)
            .map(|_| MemoryTarget::new(plan.slots as usize, starts.clone()))
            .collect();
        let mut services = vec![Service::Log(log.clone()), Service::VmList(vms.clone())];
        services.extend(targets.iter().cloned().map(Service::Target));
        let placed = services.into_iter().map(|service| Placed {
            service,
            listen: any_port(),
        });
        let stand_ins = StandIns::start(placed.collect())?;
        apply(&log, &plan)?;
        let mut fleet = Self {
            entries: Vec::new(),
            targets: Vec::new(),
            log,
            vms,
            starts,
            plan,
            stand_ins,
        };
        fleet.start_entries()?;
        fleet.start_agents(targets)?;
        Ok(fleet)
    }

    fn start_entries(&mut self) -> io::Result<()> {
        for index in 0..self.plan.entries {
            let entry = self.start_entry(&format!("entry-{index}"), index)?;
            self.entries.push(entry);
        }
        Ok(())
    }

    fn start_entry(&self, name: &str, index: usize) -> io::Result<FleetEntry> {
        let settings = EntrySettings {
            name: name.to_owned(),
            hall: self.hall(index),
            caller_listen: any_port(),
            agent_listen: any_port(),
            operator_listen: any_port(),
            entries: Vec::new(),
            fleet_secret: SECRET.to_owned(),
            log_url: self.stand_ins.url(LOG_INDEX),
            vm_list_url: self.stand_ins.url(VM_LIST_INDEX),
            http_workers: 2,
            body_limit: 4 << 20,
            drain_limit_ms: 20_000,
            permit_life_ms: 600_000,
            snapshot_every_ms: 60_000,
            otlp_url: self.plan.otlp_url.clone(),
        };
        let listeners = EntryListeners::bind(&settings)?;
        let daemon = EntryDaemon::start(EntryStart {
            platform: http_platform(&settings),
            settings,
            listeners,
            placement: self.plan.placement,
        })?;
        self.vms.put(VmRecord {
            name: name.into(),
            role: VmRole::Entry,
            state: VmState::Live,
            agent_address: Some(daemon.agent_address.to_string()),
        });
        Ok(FleetEntry {
            name: name.to_owned(),
            callers: daemon.caller_address,
            daemon: Some(daemon),
        })
    }

    fn hall(&self, index: usize) -> String {
        self.plan.halls[index % self.plan.halls.len()].clone()
    }

    fn start_agents(&mut self, targets: Vec<MemoryTarget>) -> io::Result<()> {
        for (index, target) in targets.into_iter().enumerate() {
            let name = format!("target-{index}");
            let agent = Some(self.start_agent(&name, index)?);
            self.targets.push(FleetTarget {
                name,
                target,
                agent,
            });
        }
        Ok(())
    }

    /// Starts an agent for a target, with a new incarnation number.
    fn start_agent(&self, name: &str, index: usize) -> io::Result<AgentDaemon> {
        let entries = self.entries.iter().filter_map(|e| e.daemon.as_ref());
        let incarnation = rand::random();
        let settings = AgentSettings {
            name: name.to_owned(),
            hall: self.hall(index),
            target_url: self.stand_ins.url(FIRST_TARGET_INDEX + index),
            slots: self.plan.slots,
            memory_mib: 65_536,
            accelerators: 0,
            entries: entries.map(|d| d.agent_address).collect(),
            fleet_secret: SECRET.to_owned(),
            operator_listen: any_port(),
            drain_limit_ms: 20_000,
            otlp_url: self.plan.otlp_url.clone(),
        };
        self.vms.put(VmRecord {
            name: name.into(),
            role: VmRole::Target,
            state: VmState::Live,
            agent_address: None,
        });
        AgentDaemon::start(AgentStart {
            operators: TcpListener::bind(settings.operator_listen)?,
            target: http_target(&settings, incarnation),
            settings,
            incarnation,
        })
    }

    /// Kills an entry without a drain, as a crash does. It stays on the VM list.
    pub fn kill_entry(&mut self, index: usize) {
        if let Some(daemon) = self.entries[index].daemon.take() {
            // A separate thread keeps the callers on this one running.
            std::thread::spawn(move || daemon.kill());
        }
    }

    /// Kills a target and its agent, as a VM failure does, and removes the VM from the list.
    pub fn kill_target(&mut self, index: usize) {
        let target = &mut self.targets[index];
        target.target.kill();
        if let Some(agent) = target.agent.take() {
            std::thread::spawn(move || agent.kill());
        }
        self.vms.remove(&target.name);
    }

    /// Kills an agent and starts a new incarnation for the same target.
    pub fn restart_agent(&mut self, index: usize) -> io::Result<()> {
        if let Some(agent) = self.targets[index].agent.take() {
            agent.kill();
        }
        let name = self.targets[index].name.clone();
        let agent = self.start_agent(&name, index)?;
        self.targets[index].agent = Some(agent);
        Ok(())
    }

    /// Caller addresses of the running entries.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let live = self.entries.iter().filter(|e| e.daemon.is_some());
        live.map(|e| e.callers).collect()
    }

    /// Operator addresses of the running entries.
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        let live = self.entries.iter().filter_map(|e| e.daemon.as_ref());
        live.map(|d| d.operator_address).collect()
    }

    /// Total slots of the targets whose agent runs.
    pub fn slots(&self) -> u32 {
        let live = self.targets.iter().filter(|t| t.agent.is_some());
        live.count() as u32 * self.plan.slots
    }

    /// Drains the entries and then the agents, which lets jobs in flight finish.
    pub fn stop(mut self) -> StopReport {
        let began = Instant::now();
        for entry in &self.entries {
            if let Some(daemon) = &entry.daemon {
                daemon.drain();
            }
        }
        for entry in &mut self.entries {
            if let Some(daemon) = entry.daemon.take() {
                daemon.join();
            }
        }
        for agent in self.targets.iter().filter_map(|t| t.agent.as_ref()) {
            agent.drain();
        }
        for target in &mut self.targets {
            if let Some(agent) = target.agent.take() {
                agent.join();
            }
        }
        StopReport {
            took: began.elapsed(),
        }
    }
}

/// Result of stopping a fleet.
#[derive(Debug, Clone, Copy)]
pub struct StopReport {
    /// Time that the stop took.
    pub took: Duration,
}

fn any_port() -> SocketAddr {
    ANY_PORT.parse().expect("a constant address")
}

/// The configuration document for a fleet's teams.
pub fn document_of(plan: &FleetPlan) -> Document {
    let teams = plan.teams.iter().map(|team| {
        let value = Team {
            key_sha256: hash_key(&team.key),
            quota: team.quota,
        };
        (Arc::from(team.name.as_str()), value)
    });
    Document {
        teams: teams.collect(),
        ..Document::default()
    }
}

fn apply(log: &MemoryLog, plan: &FleetPlan) -> io::Result<()> {
    let text = document_of(plan).canonical().map_err(io::Error::other)?;
    let record = LogRecord::Change {
        nonce: 1,
        replaces: trestleknot_lib::config_chain::ConfigStamp::default(),
        text: text.into(),
        author: "embedded".to_owned(),
    };
    log.append_now(record).map_err(io::Error::other)?;
    Ok(())
}
